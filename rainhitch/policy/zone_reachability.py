"""Reachability of zones: a zone whose servers fail while none of them answers counts as unreachable.

A broken network link or the loss of a zone makes all its servers fail at once, and the endpoint list reports
that late or never. If each server had to be ejected on its own, most requests would spend all their attempts
there. So failures at several servers of a zone, without an answer from the zone in between, count as a
failure of the zone: its servers are skipped, except for an occasional trial, until one of them answers.
"""

from dataclasses import dataclass, field

# Servers that have to fail, without an answer in between, until their zone counts as unreachable. If one
# server in eight is bad, that happens by chance once in about 500 times.
FAILED_SERVERS_TO_EJECT_ZONE = 3
MAX_BACKOFF_DOUBLINGS = 4  # the interval between two trials doubles at most this number of times


@dataclass(slots=True)
class Zone:
    """State of a zone since its latest answer."""

    failed_servers: set[str] = field(default_factory=set)  # servers with failed attempts
    unreachable_since_ns: int = 0  # when the zone was marked unreachable
    trials: int = 0  # trials since unreachable_since_ns, counted up to MAX_BACKOFF_DOUBLINGS
    next_trial_at_ns: int = 0


class ZoneReachability:
    """State of all listed zones; `trial_interval_ns` is the shortest interval between trials of a zone."""

    def __init__(self, trial_interval_ns: int) -> None:
        self.trial_interval_ns = trial_interval_ns
        self.zones: dict[int, Zone] = {}

    def set_zones(self, zones: set[int]) -> None:
        """Sets the zones of the listed cache servers; zones that are already known keep their state.

        A single zone is not tracked: requests could not be sent to another one, so it is never skipped.
        """
        if len(zones) > 1:
            self.zones = {zone: self.zones.get(zone) or Zone() for zone in zones}
        else:
            self.zones = {}

    def is_unreachable(self, zone: int) -> bool:
        """Returns whether a zone counts as unreachable."""
        known = self.zones.get(zone)
        return known is not None and len(known.failed_servers) >= FAILED_SERVERS_TO_EJECT_ZONE

    def may_be_tried(self, zone: int, now_ns: int) -> bool:
        """Returns whether an attempt may be sent to a zone: any if it is reachable, else a due trial."""
        return not self.is_unreachable(zone) or now_ns >= self.zones[zone].next_trial_at_ns

    def attempt_started(self, zone: int, now_ns: int) -> None:
        """Records the start of an attempt in a zone; if it is a trial, the interval to the next doubles."""
        if self.is_unreachable(zone):
            known = self.zones[zone]
            known.trials = min(known.trials + 1, MAX_BACKOFF_DOUBLINGS)
            known.next_trial_at_ns = now_ns + (self.trial_interval_ns << known.trials)

    def record_failure(self, zone: int, server: str, now_ns: int) -> bool:
        """Records a failed or timed-out attempt; returns whether it made the zone unreachable."""
        known = self.zones.get(zone)
        if known is None or len(known.failed_servers) >= FAILED_SERVERS_TO_EJECT_ZONE:
            return False
        known.failed_servers.add(server)
        if len(known.failed_servers) < FAILED_SERVERS_TO_EJECT_ZONE:
            return False
        known.unreachable_since_ns = now_ns
        known.trials = 0
        known.next_trial_at_ns = now_ns + self.trial_interval_ns
        return True

    def record_answer(self, zone: int) -> int:
        """Records an answer from a zone; returns since when (ns) it was unreachable, 0 if it was not."""
        known = self.zones.get(zone)
        if known is None or not known.failed_servers:
            return 0
        unreachable_since_ns = known.unreachable_since_ns if self.is_unreachable(zone) else 0
        known.failed_servers.clear()
        return unreachable_since_ns
