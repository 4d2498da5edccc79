"""Static partitioning of a limit among the seats of a deployment."""

from __future__ import annotations

from math import gcd

from xxhash import xxh3_64_intdigest

__all__ = ["compute_rank", "compute_share"]


def compute_rank(seat: int, ceiling: int, key: str) -> int:
    """Return the position of a seat in the order in which a key's remainder is distributed.

    :param seat: seat from 0 to ``ceiling - 1``.
    :param ceiling: number of seats.
    :param key: name of the limited resource.
    :returns: rank from 0 to ``ceiling - 1``; the ranks of all seats are a permutation.

    >>> sorted(compute_rank(seat, 4, "10.0.0.1:80") for seat in range(4))
    [0, 1, 2, 3]

    Notes
    -----
    The order is an affine permutation of the seats, chosen by a hash of the key. Sorting
    the seats by individual hashes would spread the remainder as well, but takes time that
    grows with ``ceiling`` for each key.
    """
    digest = xxh3_64_intdigest(key.encode())
    multiplier = 1 + (digest >> 32) % ceiling
    # The loop ends at 1 at the latest, because 1 is coprime to every ceiling.
    while gcd(multiplier, ceiling) != 1:
        multiplier -= 1
    return (multiplier * seat + digest % ceiling) % ceiling


def compute_share(limit: int, seat: int, ceiling: int, key: str) -> int:
    """Return the part of a limit that belongs to one seat.

    :param limit: limit of the whole deployment, at least 0.
    :param seat: seat from 0 to ``ceiling - 1``.
    :param ceiling: number of seats.
    :param key: name of the limited resource; its hash decides which seats get the remainder.
    :returns: share of the seat. The shares of all seats sum to ``limit``.
    :raises ValueError: if the seat is not below the ceiling or a number is negative.

    >>> sorted(compute_share(10, seat, 4, "10.0.0.1:80") for seat in range(4))
    [2, 2, 3, 3]

    Notes
    -----
    A share never decreases when the limit increases. If instances know different values of a
    limit, their shares therefore never sum to more than the largest value.
    """
    if limit < 0 or not 0 <= seat < ceiling:
        raise ValueError(
            f"limit {limit}, seat {seat}: expected limit >= 0 and 0 <= seat < {ceiling}"
        )
    base, remainder = divmod(limit, ceiling)
    if remainder and compute_rank(seat, ceiling, key) < remainder:
        return base + 1
    return base
