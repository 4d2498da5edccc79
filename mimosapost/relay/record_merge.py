"""Merge of the parts of a gathered answer."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

__all__ = ["RECORD_BYTES", "merge_records"]

#: Size of a record; a shorter rest at the end of a part is none.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all parts, greatest first, compared byte by byte.

    Equal records all count.

    :param bodies: parts, each a sequence of records in any order.
    :param top: number of records wanted.

    >>> merge_records([b"a" * 16 + b"c" * 16 + b"rest", b"b" * 16], 2) == b"c" * 16 + b"b" * 16
    True
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        records.extend(body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES))
    return b"".join(nlargest(top, records))
