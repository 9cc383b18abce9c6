"""Forecast of a change of the endpoint list: which keys move, the cost for the origin, and the time. No I/O.

Owners are computed as in `policy.placement`: each server has an equal range over the sorted ids, and the far
end of the range of a server of low weight goes to the next server. Keys are assumed to be spread evenly over
the hash space, so that a fraction of it is the same fraction of the keys.

Duration: all routers together move `moves_per_s` keys per second. Each move is of the key that is requested
next of those not yet moved, so popular keys move first. With the popularities w, and the probability p
that a key has not moved,

    dp/dt = -moves_per_s * w * p / sum(w * p)

This is integrated in steps over the keys that move, in groups of similar popularity.
"""

from collections import defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import pairwise

INTEGRATION_STEPS = 4000  # steps in the time that moving all keys takes at the full rate
MAX_DURATION_FACTOR = 50  # multiple of the time to move all keys at which the integration ends
GROUP_POPULARITY_FACTOR = 1.1  # keys whose popularities differ by less are one group
MAX_OWNERS_OF_RANGE = 3  # servers that share a key range: its owner and the next two
LOSS_FORECAST_SECONDS = 10  # time after a loss that `lost_reads` covers


@dataclass(frozen=True, slots=True)
class Server:
    """A cache server of an endpoint list; `weight` is the weight in the list."""

    uid: str
    zone: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ReadWorkload:
    """Read traffic by Zipf's law with exponent and offset; caches hold the most popular keys."""

    keys: int = 6000
    zipf_exponent: float = 1.0
    zipf_offset: float = 5.0
    cached_keys: int = 2700


@dataclass(slots=True)
class Forecast:
    """Result of a forecast; fractions are of the hash space, and therefore of the keys.

    The field names are those in the JSON that `rainhitch plan --json` prints.
    """

    moved: float  # fraction that gets another owner
    between: dict[tuple[str, str], float]  # fraction that moves from one server to another, by their uids
    rooms: dict[tuple[str, str], float]  # fraction that moves from one zone to another
    lost: float  # fraction whose previous owner is gone, which no migration rate limits
    reads: float  # origin reads: cached keys that move or are lost
    seconds: dict[float, float]  # seconds until a fraction (key) of the moved traffic has moved


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of the hash space that begins at the end of the previous segment, and its owner."""

    end: float
    uid: str


@dataclass(slots=True)
class KeyGroup:
    """Keys of similar popularity."""

    popularity: float  # popularity of each key as a fraction of all reads
    unmoved_keys: float


def segments(servers: Sequence[Server]) -> list[Segment]:
    """Returns the hash space from 0 to 1 in segments by owner for one endpoint list.

    Each server has an equal range. A server of less than the mean weight owns that fraction of its range; the
    rest goes to the next server, and what exceeds that server's weight to the one after it.
    """
    ordered = sorted(servers, key=lambda server: server.uid)
    count = len(ordered)
    mean_weight = sum(server.weight for server in ordered) / count
    result: list[Segment] = []
    relative_weights = [server.weight / mean_weight if mean_weight else 1.0 for server in ordered]
    for index in range(count):
        chain = [(index + offset) % count for offset in range(min(MAX_OWNERS_OF_RANGE, count))]
        near_end = 0.0
        for owner in chain:
            far_end = 1.0 if owner == chain[-1] else min(1.0, relative_weights[owner])
            if far_end > near_end:
                result.append(Segment((index + far_end) / count, ordered[owner].uid))
                near_end = far_end
    return result


def moved_fractions(before: Sequence[Server], after: Sequence[Server]) -> dict[tuple[str, str], float]:
    """Returns the fraction of the hash space that moves from one server to another, by their uids."""
    old_segments = segments(before)
    new_segments = segments(after)
    fractions: dict[tuple[str, str], float] = defaultdict(float)
    begin = 0.0
    old_index = 0
    new_index = 0
    while old_index < len(old_segments) and new_index < len(new_segments):
        old = old_segments[old_index]
        new = new_segments[new_index]
        end = min(old.end, new.end)
        if old.uid != new.uid and end > begin:
            fractions[old.uid, new.uid] += end - begin
        begin = end
        if old.end <= end:
            old_index += 1
        if new.end <= end:
            new_index += 1
    return dict(fractions)


def read_fractions(workload: ReadWorkload) -> list[float]:
    """Returns the fraction of all reads for each cached key, the most popular key first."""
    weights = [(rank + 1 + workload.zipf_offset) ** -workload.zipf_exponent for rank in range(workload.keys)]
    total = sum(weights)
    return [weight / total for weight in weights[: min(workload.cached_keys, workload.keys)]]


def seconds_until_moved(
    popularities: Sequence[float], moved_fraction: float, moves_per_s: float, goals: Sequence[float]
) -> dict[float, float]:
    """Returns the seconds until each goal, a fraction of the moved traffic, is reached.

    `popularities` are those of the cached keys, the most popular first; `moved_fraction` is the fraction of
    the keys that moves. The time is 0 where no key moves, and else infinity where `moves_per_s` is not
    positive. A goal that is not reached before the integration ends gets the time of that end.
    """
    groups = _groups(popularities, moved_fraction)
    keys = sum(group.unmoved_keys for group in groups)
    if not keys:
        return dict.fromkeys(goals, 0.0)
    if moves_per_s <= 0:
        return dict.fromkeys(goals, float("inf"))
    total_traffic = _unmoved_traffic(groups)
    unmoved_traffic = total_traffic
    step_s = keys / moves_per_s / INTEGRATION_STEPS
    elapsed_s = 0.0
    reached: dict[float, float] = {}
    while len(reached) < len(goals) and elapsed_s < MAX_DURATION_FACTOR * keys / moves_per_s:
        for goal in goals:
            if goal not in reached and unmoved_traffic <= total_traffic * (1 - goal):
                reached[goal] = elapsed_s
        _move_for(groups, step_s, moves_per_s, unmoved_traffic)
        unmoved_traffic = _unmoved_traffic(groups)
        elapsed_s += step_s
    return {goal: reached.get(goal, elapsed_s) for goal in goals}


def _groups(popularities: Sequence[float], moved_fraction: float) -> list[KeyGroup]:
    """Returns the moving fraction of the keys in groups of similar popularity."""
    groups: list[KeyGroup] = []
    for popularity in popularities:
        if groups and groups[-1].popularity <= popularity * GROUP_POPULARITY_FACTOR:
            groups[-1].unmoved_keys += moved_fraction
        else:
            groups.append(KeyGroup(popularity, moved_fraction))
    return groups


def _unmoved_traffic(groups: Sequence[KeyGroup]) -> float:
    """Returns the fraction of all reads that is of keys that have not moved."""
    return sum(group.popularity * group.unmoved_keys for group in groups)


def _move_for(groups: Sequence[KeyGroup], step_s: float, moves_per_s: float, unmoved_traffic: float) -> None:
    """Moves keys for one step of the integration."""
    if not unmoved_traffic:
        return
    for group in groups:
        moved_keys = step_s * moves_per_s * group.popularity * group.unmoved_keys / unmoved_traffic
        group.unmoved_keys -= min(group.unmoved_keys, moved_keys)


def forecast(
    before: Sequence[Server],
    after: Sequence[Server],
    workload: ReadWorkload,
    moves_per_s: float,
    *,
    goals: Sequence[float] = (0.5, 0.9, 0.99),
    retiring: Collection[str] = (),
) -> Forecast:
    """Returns what a change from one endpoint list to another moves.

    `moves_per_s` is the rate of all routers together. `goals` are the fractions of the moved traffic for
    which a time is computed. `retiring` are the uids that are not in the new list but are read until their
    keys have moved.
    """
    between = moved_fractions(before, after)
    still_read = {server.uid for server in after} | set(retiring)
    zone_of = {server.uid: server.zone for server in (*before, *after)}
    between_zones: dict[tuple[str, str], float] = defaultdict(float)
    for (old, new), fraction in between.items():
        between_zones[zone_of[old], zone_of[new]] += fraction
    moved = sum(between.values())
    lost = sum(fraction for (old, _), fraction in between.items() if old not in still_read)
    popularities = read_fractions(workload)
    return Forecast(
        moved,
        between,
        dict(between_zones),
        lost,
        moved * len(popularities),
        seconds_until_moved(popularities, moved - lost, moves_per_s, goals),
    )


def lost_reads(change_forecast: Forecast, workload: ReadWorkload, reads_per_s: float) -> list[float]:
    """Returns the origin reads in each of the first `LOSS_FORECAST_SECONDS` seconds after servers are lost.

    Each cached key of the lost fraction is read from the origin once, when it is first requested.
    `reads_per_s` is the rate of all reads.
    """
    popularities = read_fractions(workload)
    read_by = [
        change_forecast.lost
        * sum(1 - (1 - popularity) ** (reads_per_s * second) for popularity in popularities)
        for second in range(LOSS_FORECAST_SECONDS + 1)
    ]
    return [later - earlier for earlier, later in pairwise(read_by)]
