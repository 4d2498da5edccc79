"""Settings file of a process, as the platform writes it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from mimosapost.relay.state import InstanceSettings
from mimosapost.settings.faults import Fault, create_fault

__all__ = ["METRICS_PORT", "RelaySettings", "decode_settings", "read_fields"]

#: Port of the metrics, as deploy/system.toml tells the platform.
METRICS_PORT = 9464
# Time between the last sign of work and the platform's SIGKILL.
_STOP_MARGIN_US = 600_000
# Values where the file has none: those of the smallest deployment.
_GRACE_SECONDS = 6.0
# After a failure of the store its bounds hold again when it has been sound for this long.
_HEAR_MS = 4_000
_APPLY_MS = 3_000
# Bounds on a change of the configuration, a leaving server and a failure domain taken out.
_APPLY_BOUNDS = ("bounds.configApplyMs", "bounds.drainMs", "bounds.evacMs")


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Addresses and place of an instance.

    :param caller_address: where callers connect.
    :param ready_address: where the balancer asks whether the instance is ready.
    :param operator_addresses: where metrics are served.
    :param store_address: the platform's store.
    :param hear_ms: time within which a change in the store must be noticed after a failure.
    :param apply_ms: time within which a change in the store must take effect.
    """

    instance_settings: InstanceSettings
    caller_address: str
    ready_address: str
    operator_addresses: tuple[str, ...]
    store_address: str
    hear_ms: int
    apply_ms: int


def read_fields(text: str) -> dict[str, str]:
    """Return the fields of a settings file, ``name=value`` a line; other lines are ignored."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, equals, value in pairs if equals}


def decode_settings(text: str) -> Result[RelaySettings, tuple[Fault, ...]]:
    """Decode a settings file.

    :param text: content of the file.
    :returns: typed settings, or every fault.
    """
    fields = read_fields(text)
    faults = [
        create_fault((name,), fields.get(name), expected)
        for name, (expected, is_valid) in _REQUIRED.items()
        if not is_valid(fields.get(name, ""))
    ]
    for name in ("bounds.graceS", "bounds.contactMs", *_APPLY_BOUNDS):
        if name in fields and not _is_positive(fields[name]):
            faults.append(create_fault((name,), fields[name], "a number above 0"))
    if faults:
        return Failure(tuple(faults))
    grace_seconds = float(fields.get("bounds.graceS", _GRACE_SECONDS))
    instance_settings = InstanceSettings(
        fields["nodeName"],
        fields["zone"],
        fields["region"],
        _read_regions(fields),
        stop_us=max(_STOP_MARGIN_US, int(grace_seconds * 1e6) - _STOP_MARGIN_US),
    )
    control = fields.get("listenAddrs.control", "")
    host = fields["listenAddrs.front"].rpartition(":")[0]
    operator_addresses = (f"{host}:{METRICS_PORT}", *((control,) if control else ()))
    return Success(
        RelaySettings(
            instance_settings,
            fields["listenAddrs.front"],
            fields["listenAddrs.readyAddr"],
            operator_addresses,
            fields["platform.address"],
            int(float(fields.get("bounds.contactMs", _HEAR_MS))),
            min(int(float(fields.get(name, _APPLY_MS))) for name in _APPLY_BOUNDS),
        )
    )


def _read_regions(fields: Mapping[str, str]) -> dict[str, str]:
    prefix = "zones."
    regions = {k.removeprefix(prefix): v for k, v in fields.items() if k.startswith(prefix)}
    regions.setdefault(fields["zone"], fields["region"])
    return regions


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536


def _is_positive(value: str) -> bool:
    try:
        return float(value) > 0
    except ValueError:
        return False


_REQUIRED = {
    "nodeName": ("a name", bool),
    "zone": ("a failure domain", bool),
    "region": ("a region", bool),
    "listenAddrs.front": ("ip:port", _is_address),
    "listenAddrs.readyAddr": ("ip:port", _is_address),
    "platform.address": ("ip:port", _is_address),
}
