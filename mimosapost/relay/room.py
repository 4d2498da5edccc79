"""Room of services: the share of the arriving requests that their servers can run in time.

Load pattern: more requests arrive than the servers of a service can run in time. If all of them
were sent, each server would reject or delay others, and queries over many shards would miss
some shard each. Instead the requests are ordered by rank, then by a hash of their id, and only
the first of them, up to the share, are sent. The order is the same at all instances and for all
shards, so that the same queries are served whole.

The share of a service is measured from its answers and rejections. It falls by at most half in
a window in which sends were short of room, and grows in every other one, also without any
sends, by twice as much each time. A service without an entry has room.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field

from mimosapost.relay.catalog import Route

__all__ = [
    "Admission",
    "RoomTable",
    "RouteDemand",
    "choose_admission",
    "count_arrival",
    "get_carried_share",
    "get_share",
    "record_send",
]

# Length of a window of the measurement, in microseconds.
_WINDOW_US = 400_000
# Share of the sends of a window that may be short of room; hedges cover as many.
_TOLERATED_SHARE = 0.1
# Sends with room that are assumed in each window, so that one send alone decides little.
_ASSUMED_SENDS = 2
# Lowest share, so that the answers of some requests show when room returns.
_MIN_SHARE = 0.05
# Largest decrease of a share in one window, as a factor.
_MAX_DECREASE = 0.5
# Increase of a share in the first window without shortage; it doubles in each further one.
_FIRST_GROWTH = 0.02
# Time in which counted arrivals lose half of their weight, in microseconds.
_DEMAND_HALF_LIFE_US = 1_000_000
# Arrivals that a steady stream of one request a second keeps counted: 1 / ln 2.
_COUNT_PER_RATE = 1.4427
# Weight of the newest request in the time that callers of a route usually have.
_USUAL_TIME_WEIGHT = 0.05
# Part of its rank's order in which a caller is placed that has come back as told.
_RETURNED_SHARE = 0.3


@dataclass(slots=True)
class ServiceRoom:
    """Room of a service that was short lately.

    :param share: share of the arriving requests that is sent, at the start of the window.
    :param window_us: start of the window.
    :param sends: answers and rejections in the window.
    :param short_sends: those of them that were short of room.
    :param calm_windows: number of windows without shortage before it.
    """

    window_us: int
    share: float = 1.0
    sends: int = 0
    short_sends: int = 0
    calm_windows: int = 0


@dataclass(slots=True)
class RouteDemand:
    """Arrivals of one rank of a route at this instance.

    :param count: arrivals, each of which loses half of its weight in a second.
    :param usual_left_us: time that its callers usually have when they first ask.
    """

    route: Route
    rank: int
    services: frozenset[str]
    updated_us: int
    count: float = 0.0
    usual_left_us: float = 0.0


@dataclass(slots=True)
class RoomTable:
    """Room of the services that were short lately, and demand by route name and rank."""

    services: dict[str, ServiceRoom] = field(default_factory=dict)
    demand: dict[tuple[str, int], RouteDemand] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Admission:
    """Decision on a request whose services are short of room.

    :param is_admitted: whether it is sent.
    :param scarce: number of its services that are short of room.
    :param room_us: time until room for it is expected, in microseconds.
    :param per_second: requests of its rank that find room at this instance.
    """

    is_admitted: bool
    scarce: int = 0
    room_us: int = 0
    per_second: float = 0.0


def record_send(table: RoomTable, service: str, is_short: bool, now_us: int) -> None:
    """Record an answer or a rejection of a service.

    :param is_short: whether no server of the service could run the send in time.
    """
    entry = table.services.get(service)
    if entry is None:
        if not is_short:
            return
        entry = table.services[service] = ServiceRoom(now_us)
    if now_us - entry.window_us >= _WINDOW_US:
        entry.share, entry.calm_windows = _measure(entry, now_us)
        entry.window_us = now_us
        entry.sends = entry.short_sends = 0
        if entry.share >= 1 and not is_short:
            del table.services[service]
            return
    entry.sends += 1
    entry.short_sends += is_short


def get_share(table: RoomTable, service: str, now_us: int) -> float:
    """Return the share of the arriving requests that a service can run; 1 if unknown."""
    entry = table.services.get(service)
    return 1.0 if entry is None else _measure(entry, now_us)[0]


def _measure(entry: ServiceRoom, now_us: int) -> tuple[float, int]:
    """Return the share now, and the number of windows without shortage until now."""
    windows = (now_us - entry.window_us) // _WINDOW_US
    share, calm_windows = entry.share, entry.calm_windows
    if not windows:
        return share, calm_windows
    short_share = entry.short_sends / (entry.sends + _ASSUMED_SENDS)
    if short_share > _TOLERATED_SHARE:
        share = max(share * max(_MAX_DECREASE, 1 - short_share), _MIN_SHARE)
        windows, calm_windows = windows - 1, 0
    while windows and share < 1:
        share += _get_growth(calm_windows)
        windows, calm_windows = windows - 1, calm_windows + 1
    return min(share, 1.0), calm_windows


def _get_growth(calm_windows: int) -> float:
    return _FIRST_GROWTH * 2**calm_windows


def count_arrival(
    table: RoomTable,
    route: Route,
    rank: int,
    services: tuple[str, ...],
    left_us: int,
    now_us: int,
) -> RouteDemand:
    """Count an arriving request.

    :param rank: rank of the request, which may be its workspace's.
    :param services: services that the route may use.
    :param left_us: time until the caller's deadline, in microseconds.
    """
    key = (route.name, rank)
    demand = table.demand.get(key)
    if demand is None or demand.route is not route:
        count = demand.count if demand is not None else 0.0
        updated_us = demand.updated_us if demand is not None else now_us
        demand = RouteDemand(
            route, rank, frozenset(services), updated_us, count, float(left_us)
        )
        table.demand[key] = demand
    demand.count = _get_count(demand, now_us) + 1
    demand.updated_us = now_us
    if left_us > demand.usual_left_us:
        demand.usual_left_us = float(left_us)
    else:
        demand.usual_left_us += _USUAL_TIME_WEIGHT * (left_us - demand.usual_left_us)
    return demand


def _get_count(demand: RouteDemand, now_us: int) -> float:
    return demand.count * 0.5 ** ((now_us - demand.updated_us) / _DEMAND_HALF_LIFE_US)


def choose_admission(
    table: RoomTable,
    demand: RouteDemand,
    services: Collection[str],
    spare_parts: float,
    place: float,
    has_waited: bool,
    now_us: int,
) -> Admission:
    """Decide whether there is room for a request.

    :param services: services that the request is to be sent to.
    :param spare_parts: number of these that its reply can do without.
    :param place: place of the request within its rank, from 0 to 1.
    :param has_waited: whether the caller has come back at the time that it was told.
    """
    shares = [get_share(table, service, now_us) for service in services]
    scarce = sorted(share for share in shares if share < 1)
    carried = get_carried_share(scarce, spare_parts)
    if carried >= 1:
        return Admission(True, len(scarce))
    if has_waited:
        place *= _RETURNED_SHARE
    rank = demand.rank
    counts = list(_list_counts(table, demand, now_us))
    total = sum(count for _, count in counts)
    before = sum(count for other_rank, count in counts if other_rank < rank)
    equal = sum(count for other_rank, count in counts if other_rank == rank)
    position = (before + place * equal) / total
    if position <= carried:
        return Admission(True, len(scarce))
    per_second = max(carried * total - before, _MIN_SHARE * equal) / _COUNT_PER_RATE
    room_us = _get_growth_us(carried, position)
    return Admission(False, len(scarce), room_us, per_second)


def get_carried_share(scarce: Sequence[float], spare_parts: float) -> float:
    """Return the share of the queries that scarce services can carry together.

    If this share is sent, a service with less room misses the rest of its parts. The queries
    miss as many parts on average as their replies can do without.

    :param scarce: shares of the scarce services, ascending.
    :param spare_parts: number of parts that a reply can do without.
    :returns: share from 0 to 1.

    >>> get_carried_share([0.5], 0), get_carried_share([0.5], 1)
    (0.5, 1.0)
    >>> get_carried_share([0.3, 0.3, 0.3], 2)
    0.9
    """
    total = 0.0
    for number, share in enumerate(scarce, start=1):
        total += share
        if number > spare_parts:
            carried = total / (number - spare_parts)
            if number == len(scarce) or carried <= scarce[number]:
                return round(min(carried, 1.0), 6)
    return 1.0


def _list_counts(
    table: RoomTable, demand: RouteDemand, now_us: int
) -> Iterator[tuple[int, float]]:
    """Yield rank and arrivals of the routes that use a common service."""
    for other in table.demand.values():
        if other is demand or not demand.services.isdisjoint(other.services):
            yield other.rank, _get_count(other, now_us)


def _get_growth_us(share: float, needed: float) -> int:
    windows = 0
    while share < needed:
        share, windows = share + _get_growth(windows), windows + 1
    return windows * _WINDOW_US
