"""Application of the store's entries: passes what they mean to the reducer.

An entry that can't be read is reported and costs itself alone.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from mimosapost.edge.logs import Logs
from mimosapost.model.events import Event
from mimosapost.model.peer_messages import SourceEntry
from mimosapost.platform.store_calls import CONFIG_KEY
from mimosapost.platform.store_entries import EntryError, decode_catalog, decode_server
from mimosapost.relay.events import (
    CatalogRead,
    DomainsOut,
    EntryIgnored,
    ServerListed,
    ServersReplaced,
    ServerUnlisted,
)
from mimosapost.relay.messages import BackendServer

__all__ = ["EntryApplication"]

_SERVER_PREFIX = "servers/"
_DOMAIN_OUT_PREFIX = "op/evacuate/"


class EntryApplication:
    """Decodes entries of the store and passes them to the reducer as events.

    :param handle: function that passes an event to the reducer.
    :param read_clock_us: monotonic clock in microseconds.
    :param logs: log for entries that are ignored.
    """

    def __init__(
        self, handle: Callable[[Event], None], read_clock_us: Callable[[], int], logs: Logs
    ) -> None:
        self._handle = handle
        self._read_clock_us = read_clock_us
        self._logs = logs
        self._domains_out: frozenset[str] = frozenset()

    def apply_list(self, entries: Sequence[SourceEntry], is_rewound: bool) -> None:
        """Apply the complete list of entries.

        :param is_rewound: whether the store has returned from an older copy.
        """
        for entry in entries:
            if entry.key == CONFIG_KEY:
                self._apply_config(entry)
        domains_out = (
            entry.key.removeprefix(_DOMAIN_OUT_PREFIX)
            for entry in entries
            if entry.key.startswith(_DOMAIN_OUT_PREFIX)
        )
        self._set_domains_out(frozenset(domains_out), is_rewound)
        # The server list is passed last, because it releases the requests that were held until
        # the instance is ready.
        server_entries = [entry for entry in entries if entry.key.startswith(_SERVER_PREFIX)]
        servers = [self._decode_server(entry) for entry in server_entries]
        usable_servers = tuple(server for server in servers if server is not None)
        self._handle(ServersReplaced(self._read_clock_us(), usable_servers, is_rewound))

    def apply_change(self, entry: SourceEntry) -> None:
        """Apply an entry that was written or removed."""
        if entry.key.startswith(_SERVER_PREFIX):
            server_id = entry.key.removeprefix(_SERVER_PREFIX)
            if entry.is_removed:
                event = ServerUnlisted(self._read_clock_us(), server_id, "removed")
                self._handle(event)
                return
            server = self._decode_server(entry)
            if server is not None:
                self._handle(ServerListed(self._read_clock_us(), server))
        elif entry.key.startswith(_DOMAIN_OUT_PREFIX):
            domain = frozenset((entry.key.removeprefix(_DOMAIN_OUT_PREFIX),))
            self._set_domains_out(
                self._domains_out - domain if entry.is_removed else self._domains_out | domain
            )
        elif entry.key == CONFIG_KEY and not entry.is_removed:
            self._apply_config(entry)

    def _set_domains_out(self, domains: frozenset[str], is_rewound: bool = False) -> None:
        self._domains_out = domains
        self._handle(DomainsOut(self._read_clock_us(), domains, is_rewound))

    def _decode_server(self, entry: SourceEntry) -> BackendServer | None:
        server_id = entry.key.removeprefix(_SERVER_PREFIX)
        try:
            return decode_server(server_id, _get_value(entry))
        except EntryError as error:
            self._report_odd_entry(entry, error)
            # The entry may have replaced a valid one. The current address and state of its
            # server are unknown, so the server must not be used any longer.
            event = ServerUnlisted(self._read_clock_us(), server_id, "unreadable")
            self._handle(event)
            return None

    def _apply_config(self, entry: SourceEntry) -> None:
        try:
            catalog = decode_catalog(_get_value(entry))
        except EntryError as error:
            self._report_odd_entry(entry, error)
            return
        self._handle(CatalogRead(self._read_clock_us(), catalog))

    def _report_odd_entry(self, entry: SourceEntry, error: EntryError) -> None:
        self._logs.write("entry_ignored", {"key": entry.key, "reason": str(error)})
        self._handle(EntryIgnored(self._read_clock_us(), entry.key.partition("/")[0]))


def _get_value(entry: SourceEntry) -> bytes:
    if not entry.value:
        raise EntryError("value is empty, or not valid base64 or JSON")
    return entry.value
