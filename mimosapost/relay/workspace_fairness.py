"""Order of waiting parts between workspaces.

Load pattern: one workspace sends many times its usual, below its limit or before the limit
holds, so that the servers of a service have no room. Ordered by age alone, its requests would
delay those of all others. In turns, each workspace waits for its own requests only.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from mimosapost.relay.state import Part, RelayState

__all__ = ["order_fairly", "order_waiting"]

# Rank of the route, number of the request, and the part.
_WaitingPart = tuple[int, int, Part]


def order_fairly(
    queue: Iterable[_WaitingPart], get_workspace: Callable[[int], str], running: Counter[str]
) -> list[_WaitingPart]:
    """Order waiting parts by urgency, then by turns of the workspaces, then by age.

    :param get_workspace: returns the name of a request's workspace; empty for none. Requests
        without a workspace are ordered by age, before the second turn of any workspace.
    :param running: number of sends that each workspace has open at the same servers, which
        count as turns that it has had.

    >>> queue = [(1, number, Part("s")) for number in (1, 2, 3, 4)]
    >>> names = {1: "hot", 2: "hot", 3: "hot", 4: "small"}
    >>> [number for _, number, _ in order_fairly(queue, names.get, Counter())]
    [1, 4, 2, 3]
    >>> [number for _, number, _ in order_fairly(queue, names.get, Counter({"hot": 1}))]
    [4, 1, 2, 3]
    """
    turns = Counter(running)
    keyed = []
    for rank, number, part in sorted(queue, key=lambda entry: entry[:2]):
        workspace = get_workspace(number)
        keyed.append(((rank, turns[workspace] if workspace else 0, number), part))
        turns[workspace] += 1
    keyed.sort(key=lambda entry: entry[0])
    return [(rank, number, part) for (rank, _, number), part in keyed]


def order_waiting(
    state: RelayState, service: str, queue: list[_WaitingPart]
) -> list[_WaitingPart]:
    """Order the parts that wait for the servers of a service."""

    def get_workspace(request_number: int) -> str:
        open_request = state.requests.get(request_number)
        workspace = open_request.workspace if open_request is not None else None
        return workspace.name if workspace is not None else ""

    running: Counter[str] = Counter()
    if any(get_workspace(number) for _, number, _ in queue):
        running.update(
            get_workspace(state.sends[send_id].request_number)
            for record in state.by_service.get(service, ())
            for send_id in record.open_sends
            if send_id in state.sends
        )
    return order_fairly(queue, get_workspace, running)
