"""Merge of the records that the shards of a gathered request returned."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest

__all__ = ["RECORD_BYTES", "merge_records"]

#: Size of a record in bytes; fewer bytes than this at the end of a part are ignored.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records of all parts in descending byte order.

    Equal records are all kept.

    :param bodies: bodies of the parts, each a concatenation of records in any order.
    :param max_records: largest number of records to return.

    >>> merge_records([b"a" * 16 + b"c" * 16 + b"rest", b"b" * 16], 2) == b"c" * 16 + b"b" * 16
    True
    """
    records: list[bytes] = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        records.extend(body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES))
    return b"".join(nlargest(max_records, records))
