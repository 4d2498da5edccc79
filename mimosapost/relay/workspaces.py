"""Workspaces of callers: which one a request belongs to, and what a new catalog changes.

Load pattern: callers of many workspaces share connections, instances and servers, and keys are
added, moved and taken away while connections stay open and requests wait. Each request is
therefore looked up in the catalog in force when it is admitted, and requests that wait are
looked up again in each new catalog.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from mimosapost.model.codes import ResultCode
from mimosapost.model.effects import IncrementCounter, WriteLog
from mimosapost.relay.catalog import Catalog, Route, Workspace, WorkspaceFault
from mimosapost.relay.completion import refuse_request
from mimosapost.relay.messages import Refusal, RelayRequest
from mimosapost.relay.registry import Effects
from mimosapost.relay.sends import abandon_request
from mimosapost.relay.state import OpenRequest, RelayState

__all__ = [
    "UnknownKeyError",
    "find_workspace",
    "refuse_unknown_key",
    "report_workspace_faults",
    "settle_head",
    "update_open_requests",
]

# Faults of one catalog that are logged; the counter has all of them.
_MAX_LOGGED_FAULTS = 20


class UnknownKeyError(Exception):
    """A request has no key that the catalog knows; the message says which of both."""


def find_workspace(
    catalog: Catalog, route: Route | None, request: RelayRequest
) -> Workspace | None:
    """Return the workspace of a request, or ``None`` if the request needs no key.

    :raises UnknownKeyError: if the request needs a key and has none that is known.
    """
    rules = catalog.workspace_rules
    if rules is None or route is None or route.is_public:
        return None
    # The digests are keyed with a secret of the process, so that the time of a look-up tells
    # nothing about the keys.
    workspace = rules.by_digest.get(request.key_digest)
    if workspace is None:
        raise UnknownKeyError("unknown key" if request.key_digest else "no key")
    return workspace


def settle_head(catalog: Catalog, request: RelayRequest) -> RelayRequest:
    """Return a request with the final head for servers.

    What the caller says about its workspace is forwarded only where there are no workspaces.
    """
    if not request.workspace_lines:
        return request
    if catalog.workspace_rules is not None:
        return replace(request, workspace_lines=b"")
    head = b"\r\n".join((request.head, request.workspace_lines))
    return replace(request, head=head, workspace_lines=b"")


def refuse_unknown_key(
    state: RelayState, request: RelayRequest, error: UnknownKeyError, effects: Effects
) -> None:
    """Refuse a request that has no known key, and count it by the reason."""
    refusal = Refusal(ResultCode.UNKNOWN_CALLER, 0, str(error))
    refuse_request(state, request.request_number, request.request_id, refusal, effects)
    labels = (("reason", str(error).replace(" ", "_")),)
    effects.append(IncrementCounter("mimosapost_relay_key_refusals_total", labels))


def update_open_requests(state: RelayState, now_us: int, effects: Effects) -> None:
    """Apply the keys of a new catalog to the open requests of callers.

    A request that no server has received follows its key: it is refused if the key was taken
    away, and belongs to the workspace that the key was moved to. One that may have run is
    finished, because its caller could not tell a refusal from a second run.
    """
    catalog = state.catalog
    for open_request in list(state.requests.values()):
        if open_request.workspace is None or open_request.served is not None:
            continue
        try:
            workspace = find_workspace(catalog, open_request.route, open_request.request)
        except UnknownKeyError as error:
            if not _may_have_run(open_request):
                del state.requests[open_request.request.request_number]
                abandon_request(state, open_request, now_us, effects)
                refuse_unknown_key(state, open_request.request, error, effects)
            continue
        if workspace is None:
            continue
        if workspace.name == open_request.workspace.name or not _may_have_run(open_request):
            open_request.workspace = workspace


def _may_have_run(open_request: OpenRequest) -> bool:
    return any(
        part.possible_runs or part.is_sent or part.is_answered for part in open_request.parts
    )


def report_workspace_faults(faults: Iterable[WorkspaceFault], effects: Effects) -> None:
    """Log and count the workspaces and keys that a catalog had to leave out."""
    for index, fault in enumerate(faults):
        labels = (("kind", fault.kind),)
        effects.append(
            IncrementCounter("mimosapost_relay_workspace_faults_total", labels, fault.count)
        )
        if index < _MAX_LOGGED_FAULTS:
            fields = (
                ("workspace", fault.workspace),
                ("kind", fault.kind),
                ("count", fault.count),
            )
            effects.append(WriteLog("workspace_fault", fields))
