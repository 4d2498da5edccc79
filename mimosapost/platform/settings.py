"""Decoder for the settings file that the platform writes for each process."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from mimosapost.limits.fleet_limits import LimitRules
from mimosapost.model.caller_bounds import CallerBounds
from mimosapost.relay.state import InstanceSettings
from mimosapost.settings.faults import Fault, create_fault

__all__ = ["METRICS_PORT", "RelaySettings", "decode_settings", "read_fields"]

#: Port on which metrics are served; ``deploy/system.toml`` declares it to the platform.
METRICS_PORT = 9464
# Time between the end of the graceful stop and the platform's SIGKILL at the end of the grace
# period.
_STOP_MARGIN_US = 600_000
# Share of the memory limit that unfinished answers of servers may take. Requests, replies and
# the program itself need the rest.
_ANSWER_MEMORY_SHARE = 0.25
# Share of the memory limit that heads, bodies and answers of callers may take, all together and
# on one connection.
_CALLER_MEMORY_SHARE = 0.15
_CONNECTION_MEMORY_SHARE = 0.1
# Descriptors that the platform keeps for files, and shares of the others for connections of
# callers and to servers. Links, the store and connections that are being closed need the rest.
_FILE_DESCRIPTORS = 200
_CALLER_DESCRIPTOR_SHARE = 0.5
_SERVER_DESCRIPTOR_SHARE = 0.4
_BYTES_PER_MB = 1024 * 1024
# Defaults for fields that the file lacks, taken from the smallest deployment.
_DEFAULT_GRACE_SECONDS = 6.0
# Changes must be detected again once the store has worked for this long after a failure.
_DEFAULT_DETECTION_MS = 4_000
_DEFAULT_APPLY_MS = 3_000
_DEFAULT_MEMORY_MB = 256
_DEFAULT_DESCRIPTORS = 4_096
# Time in seconds after which a caller that reads nothing of its answer is closed.
_DEFAULT_READ_TIMEOUT_SECONDS = 60.0
# Time limits in milliseconds for applying a change of the configuration, draining a server and
# taking a failure domain out of service.
_APPLY_LIMIT_FIELDS = ("bounds.configApplyMs", "bounds.drainMs", "bounds.evacMs")
_ABOVE_ZERO = "a number above 0"
# Character that replaces bytes that are not UTF-8.
_REPLACEMENT = "\N{REPLACEMENT CHARACTER}"


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of one instance; every address is ``ip:port``.

    :param instance_settings: location of the instance and time limits of its graceful stop.
    :param caller_address: address that callers connect to.
    :param ready_address: address where the load balancer checks whether the instance is ready.
    :param operator_addresses: addresses where metrics are served.
    :param store_address: address of the platform's store.
    :param detection_limit_ms: time in milliseconds after the end of a store failure within
        which changes must be detected again.
    :param apply_limit_ms: time in milliseconds within which a change in the store must take
        effect.
    :param caller_bounds: bounds on what callers may make the process hold.
    :param max_server_connections: number of connections to servers above which idle ones are
        closed.
    :param is_first_start: whether all instances start together before there is traffic.
    :param max_held_bytes: maximum number of bytes of all unfinished answers of servers.
    :param ignored: fields of the file that were ignored because of their values.
    """

    instance_settings: InstanceSettings
    caller_address: str
    ready_address: str
    operator_addresses: tuple[str, ...]
    store_address: str
    detection_limit_ms: int
    apply_limit_ms: int
    max_held_bytes: int
    caller_bounds: CallerBounds
    max_server_connections: int
    is_first_start: bool = False
    ignored: tuple[Fault, ...] = field(default=(), compare=False)


def read_fields(text: str) -> dict[str, str]:
    """Return the fields of a settings file, one ``name=value`` per line.

    Lines without an equals sign are ignored.
    """
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, equals, value in pairs if equals}


def decode_settings(text: str) -> Result[RelaySettings, tuple[Fault, ...]]:
    """Decode a settings file.

    An empty field counts as a missing one. A field that the process can do without is ignored
    if its value is malformed.

    :param text: content of the file.
    :returns: decoded settings, or every fault for which the file is refused.
    """
    found = {name: value for name, value in read_fields(text).items() if value}
    refused = _find_faults(_REQUIRED_FIELDS, dict.fromkeys(_REQUIRED_FIELDS, "") | found)
    refused |= _find_faults(_EXPLAINED_FIELDS, found)
    if refused:
        return Failure(tuple(refused.values()))
    ignored = _find_faults(_IGNORABLE_FIELDS, found)
    fields = {name: value for name, value in found.items() if name not in ignored}
    seeds, odd_seeds = _split_seeds(fields)
    memory_mb = float(fields.get("limits.memoryMb", _DEFAULT_MEMORY_MB))
    grace_seconds = float(fields.get("bounds.graceS", _DEFAULT_GRACE_SECONDS))
    control_address = fields.get("listenAddrs.control", "")
    host = fields["listenAddrs.front"].rpartition(":")[0]
    peer_port = fields.get("portRange", "").partition(",")[0]
    instance_settings = InstanceSettings(
        fields["nodeName"],
        fields["zone"],
        fields["region"],
        _extract_regions(fields),
        stop_us=max(_STOP_MARGIN_US, int(grace_seconds * 1e6) - _STOP_MARGIN_US),
        peer_address=f"{host}:{peer_port}" if peer_port else "",
        seed_addresses=_create_seed_addresses(seeds, peer_port),
        limit_rules=_extract_limit_rules(fields),
    )
    operator_addresses = (
        f"{host}:{METRICS_PORT}",
        *((control_address,) if control_address else ()),
    )
    return Success(
        RelaySettings(
            instance_settings,
            fields["listenAddrs.front"],
            fields["listenAddrs.readyAddr"],
            operator_addresses,
            fields["platform.address"],
            int(float(fields.get("bounds.contactMs", _DEFAULT_DETECTION_MS))),
            min(
                int(float(fields.get(name, _DEFAULT_APPLY_MS))) for name in _APPLY_LIMIT_FIELDS
            ),
            int(memory_mb * _BYTES_PER_MB * _ANSWER_MEMORY_SHARE),
            _create_caller_bounds(fields, memory_mb),
            max(1, int(_count_descriptors(fields) * _SERVER_DESCRIPTOR_SHARE)),
            fields.get("bootstrap") == "true",
            (*ignored.values(), *odd_seeds),
        )
    )


def _find_faults(rules: _FieldRules, fields: Mapping[str, str]) -> dict[str, Fault]:
    """Return a fault for each field whose value is malformed, by the field's name."""
    return {
        name: create_fault((name,), fields[name], expected)
        for name, (expected, is_valid) in rules.items()
        if name in fields and not is_valid(fields[name])
    }


def _count_descriptors(fields: Mapping[str, str]) -> float:
    """Return the number of descriptors for sockets."""
    return float(fields.get("limits.maxFds", _DEFAULT_DESCRIPTORS)) - _FILE_DESCRIPTORS


def _create_caller_bounds(fields: Mapping[str, str], memory_mb: float) -> CallerBounds:
    def read(name: str, default: float, factor: float = 1) -> int:
        return int(float(fields.get(name, default)) * factor)

    connections = max(1, int(_count_descriptors(fields) * _CALLER_DESCRIPTOR_SHARE))
    return CallerBounds(
        read("callers.memoryMb", memory_mb * _CALLER_MEMORY_SHARE, _BYTES_PER_MB),
        read("callers.connectionMemoryMb", memory_mb * _CONNECTION_MEMORY_SHARE, _BYTES_PER_MB),
        read("callers.maxConnections", connections),
        read("callers.maxHeaderLines", 0),
        read("callers.readTimeoutS", _DEFAULT_READ_TIMEOUT_SECONDS, 1_000_000),
    )


def _extract_regions(fields: Mapping[str, str]) -> dict[str, str]:
    prefix = "zones."
    regions = {k.removeprefix(prefix): v for k, v in fields.items() if k.startswith(prefix)}
    regions.setdefault(fields["zone"], fields["region"])
    return regions


def _split_seeds(fields: Mapping[str, str]) -> tuple[list[str], list[Fault]]:
    """Return the usable addresses of the list, and a fault for each other one."""
    seeds = [seed.strip() for seed in fields.get("seeds", "").split(",") if seed.strip()]
    usable = [seed for seed in seeds if _is_address(seed)]
    odd = [seed for seed in seeds if seed not in usable]
    return usable, [create_fault(("seeds",), seed, "ip:port") for seed in odd]


def _create_seed_addresses(seeds: Iterable[str], peer_port: str) -> tuple[str, ...]:
    # The field lists operators' addresses. All instances use the same port for peer links.
    if not peer_port:
        return ()
    return tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in seeds)


def _extract_limit_rules(fields: Mapping[str, str]) -> LimitRules:
    default = LimitRules()
    window_s = float(fields.get("bounds.quotaWindowS", default.window_us / 1e6))
    return LimitRules(
        max(1, int(window_s * 1e6)),
        float(fields.get("bounds.quotaExcess", default.excess)),
        float(fields.get("bounds.quotaSlack", default.slack)),
    )


def _is_port_range(value: str) -> bool:
    ports = value.split(",")
    return len(ports) == 2 and all(port.isdigit() and 0 < int(port) < 65_536 for port in ports)


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65_536


def _is_name(value: str) -> bool:
    return bool(value) and _REPLACEMENT not in value


def _is_positive_number(value: str) -> bool:
    return _is_number(value) and float(value) > 0


def _is_number_from_zero(value: str) -> bool:
    return _is_number(value) and float(value) >= 0


def _is_number(value: str) -> bool:
    try:
        return math.isfinite(float(value))
    except ValueError:
        return False


# For each field, what is expected and a function that checks its value.
_FieldRules = Mapping[str, tuple[str, Callable[[str], bool]]]
_REQUIRED_FIELDS: _FieldRules = {
    "nodeName": ("a name", _is_name),
    "zone": ("a failure domain", _is_name),
    "region": ("a region", _is_name),
    "listenAddrs.front": ("ip:port", _is_address),
    "listenAddrs.readyAddr": ("ip:port", _is_address),
    "platform.address": ("ip:port", _is_address),
}
# The process keeps its promises only if it knows these limits and ports, so that a malformed
# value is refused and not replaced by a guess.
_EXPLAINED_FIELDS: _FieldRules = {
    "portRange": ("two ports", _is_port_range),
    "bounds.graceS": (_ABOVE_ZERO, _is_positive_number),
    "bounds.contactMs": (_ABOVE_ZERO, _is_positive_number),
    **dict.fromkeys(_APPLY_LIMIT_FIELDS, (_ABOVE_ZERO, _is_positive_number)),
    "limits.memoryMb": (_ABOVE_ZERO, _is_positive_number),
    "limits.maxFds": (_ABOVE_ZERO, _is_positive_number),
}
# Fields that the process can do without: those of matters that are not open on a deployment,
# the operators' address, and the project's own bounds on callers.
_IGNORABLE_FIELDS: _FieldRules = {
    "listenAddrs.control": ("ip:port", _is_address),
    "bounds.quotaWindowS": (_ABOVE_ZERO, _is_positive_number),
    "bounds.quotaExcess": ("a number of at least 0", _is_number_from_zero),
    "bounds.quotaSlack": ("a number of at least 0", _is_number_from_zero),
    "callers.memoryMb": (_ABOVE_ZERO, _is_positive_number),
    "callers.connectionMemoryMb": (_ABOVE_ZERO, _is_positive_number),
    "callers.maxConnections": (_ABOVE_ZERO, _is_positive_number),
    "callers.maxHeaderLines": (_ABOVE_ZERO, _is_positive_number),
    "callers.readTimeoutS": (_ABOVE_ZERO, _is_positive_number),
}
