"""Which keys a change of the endpoint list moves, what that costs the origin, and how long it takes. Pure.

Owners are worked out as `policy.placement` does: equal ranges over the sorted ids, and the far end of a small
machine's range with the next server. Keys lie evenly in the hash space: fractions of it are fractions of the
keys.

Duration: routers move keys at `moves_per_s` together, and each move is of the key that is requested next
among those that have not moved, so popular keys move first. With the popularities w, and the probability p
that a key has not moved,

    dp/dt = -moves_per_s * w * p / sum(w * p)

This is integrated here in steps over the keys that move, in groups of similar popularity.
"""

from collections import defaultdict
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import pairwise

STEPS = 4000  # of the integration, for the time in which all keys would move at the full pace
MAX_DURATION_FACTOR = 50  # times that time at which the integration ends
GROUP_POPULARITY_FACTOR = 1.1  # keys whose popularities differ by less are one group
MAX_OWNERS_OF_RANGE = 3  # servers that share a key range: its owner and the next two
SECONDS_AFTER_LOSS = 10


@dataclass(frozen=True, slots=True)
class Server:
    """One cache server of a list; `weight` as the list gives it."""

    uid: str
    zone: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ReadWorkload:
    """What is read: keys by Zipf's law with its exponent and offset. Caches hold the most popular ones."""

    keys: int = 6000
    zipf_exponent: float = 1.0
    zipf_offset: float = 5.0
    cached_keys: int = 2700


@dataclass(slots=True)
class Forecast:
    """What a change of the list moves; fractions are of the hash space, and so of the keys.

    The names of the fields are those in the JSON that `rainhitch plan --json` prints.
    """

    moved: float  # fraction that gets another owner
    between: dict[tuple[str, str], float]  # fraction that moves from one server to another, by their uids
    rooms: dict[tuple[str, str], float]  # the same from one zone to another
    lost: float  # fraction of the keys that move whose holder is gone: nothing paces it
    reads: float  # of the origin: cached keys that move or are lost
    seconds: dict[
        float, float
    ]  # by fraction of the moved traffic: until so much of it goes to its new owners


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of the hash space, from the end of the segment before it, and its owner."""

    end: float
    uid: str


@dataclass(slots=True)
class KeyGroup:
    """Keys of similar popularity."""

    popularity: float  # of each, as a fraction of all reads
    unmoved_keys: float


def segments(servers: Sequence[Server]) -> list[Segment]:
    """The hash space from 0 to 1 in segments by owner, as one list divides it.

    Each server has an equal range. One of less than the mean weight bears that part of it; the rest goes to
    the next server, and what that does not bear to the one after it.
    """
    ordered = sorted(servers, key=lambda server: server.uid)
    count = len(ordered)
    mean_weight = sum(server.weight for server in ordered) / count
    found: list[Segment] = []
    relative_weights = [server.weight / mean_weight if mean_weight else 1.0 for server in ordered]
    for number in range(count):
        chain = [(number + offset) % count for offset in range(min(MAX_OWNERS_OF_RANGE, count))]
        near_end = 0.0
        for place in chain:
            far_end = 1.0 if place == chain[-1] else min(1.0, relative_weights[place])
            if far_end > near_end:
                found.append(Segment((number + far_end) / count, ordered[place].uid))
                near_end = far_end
    return found


def moved_fractions(before: Sequence[Server], after: Sequence[Server]) -> dict[tuple[str, str], float]:
    """The fraction of the hash space that moves from one server to another, by their uids."""
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
    """The fraction of all reads that each cached key draws, the most popular key first."""
    weights = [(rank + 1 + workload.zipf_offset) ** -workload.zipf_exponent for rank in range(workload.keys)]
    total = sum(weights)
    return [weight / total for weight in weights[: min(workload.cached_keys, workload.keys)]]


def seconds_until_moved(
    popularities: Sequence[float], moved_fraction: float, moves_per_s: float, goals: Sequence[float]
) -> dict[float, float]:
    """Seconds until each goal, a fraction of the moved traffic, is reached.

    `popularities`: of the cached keys, the most popular first; `moved_fraction`: of each of them moves so
    much. Infinity where nothing moves.
    """
    groups = _groups(popularities, moved_fraction)
    keys = sum(group.unmoved_keys for group in groups)
    if not keys:
        return dict.fromkeys(goals, 0.0)
    if moves_per_s <= 0:
        return dict.fromkeys(goals, float("inf"))
    total_traffic = _unmoved_traffic(groups)
    unmoved_traffic = total_traffic
    step_s = keys / moves_per_s / STEPS
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
    """The moving part of the keys in groups of similar popularity."""
    groups: list[KeyGroup] = []
    for popularity in popularities:
        if groups and groups[-1].popularity <= popularity * GROUP_POPULARITY_FACTOR:
            groups[-1].unmoved_keys += moved_fraction
        else:
            groups.append(KeyGroup(popularity, moved_fraction))
    return groups


def _unmoved_traffic(groups: Sequence[KeyGroup]) -> float:
    """The fraction of all reads that is of keys that have not moved yet."""
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
    """What going from one list to the other moves.

    `moves_per_s` is the pace of all routers together; `goals` are the fractions of the moved traffic for
    which a time is given; `retiring` are the uids that are off the new list and are read until their keys
    have moved.
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


def lost_reads(forecast_made: Forecast, workload: ReadWorkload, reads_per_s: float) -> list[float]:
    """Origin reads in each of the first seconds after a loss.

    Each cached key of the lost fraction is read from the origin once, when it is first requested;
    `reads_per_s` is the rate of all reads.
    """
    popularities = read_fractions(workload)
    read_by = [
        forecast_made.lost
        * sum(1 - (1 - popularity) ** (reads_per_s * second) for popularity in popularities)
        for second in range(SECONDS_AFTER_LOSS + 1)
    ]
    return [later - earlier for earlier, later in pairwise(read_by)]
