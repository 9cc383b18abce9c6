"""Which zones this router can't reach, told by what fails there while nothing answers.

A link that is cut, or a zone that is lost, fails all its servers at once, and the endpoint list tells of it
late, if at all. Learned server by server it would cost most requests all their attempts. So failures at
several servers of a zone, with no answer from it in between, are taken for one failure of the zone: it is
passed over, but for a trial now and then, until one of its servers answers.
"""

from dataclasses import dataclass, field

# Servers that failed in a row before their zone counts as unreachable: where one server in eight is bad, that
# comes by chance once in 500 times.
FAILED_SERVERS_TO_EJECT_ZONE = 3
MAX_BACKOFF_DOUBLINGS = 4  # of the time between two trials


@dataclass(slots=True)
class Zone:
    """One zone since its last answer."""

    failed_servers: set[str] = field(default_factory=set)  # whose attempts failed
    unreachable_since_ns: int = 0  # when it was taken as unreachable
    trials: int = 0  # since then, as far as they count for the backoff
    next_trial_at_ns: int = 0


class ZoneReachability:
    """All zones on the list. `trial_interval_ns` is the least time between two trials of one."""

    def __init__(self, trial_interval_ns: int) -> None:
        self.trial_interval_ns = trial_interval_ns
        self.zones: dict[int, Zone] = {}

    def set_zones(self, zones: set[int]) -> None:
        """Takes the zones of the cache servers on the list; of a zone that stays, what is known stays.

        Guards a fleet with one zone: it has nowhere else to go, so its zone is never passed over.
        """
        if len(zones) > 1:
            self.zones = {zone: self.zones.get(zone) or Zone() for zone in zones}
        else:
            self.zones = {}

    def is_unreachable(self, zone: int) -> bool:
        """Whether it is taken as unreachable."""
        known = self.zones.get(zone)
        return known is not None and len(known.failed_servers) >= FAILED_SERVERS_TO_EJECT_ZONE

    def may_be_tried(self, zone: int, now_ns: int) -> bool:
        """Whether an attempt may go there, as a trial at least."""
        return not self.is_unreachable(zone) or now_ns >= self.zones[zone].next_trial_at_ns

    def attempt_started(self, zone: int, now_ns: int) -> None:
        """An attempt goes there; if it is a trial, the next one waits twice as long as this one did."""
        if self.is_unreachable(zone):
            known = self.zones[zone]
            known.trials = min(known.trials + 1, MAX_BACKOFF_DOUBLINGS)
            known.next_trial_at_ns = now_ns + (self.trial_interval_ns << known.trials)

    def record_failure(self, zone: int, server: str, now_ns: int) -> bool:
        """An attempt there failed or was silent; whether the zone is taken as unreachable from now on."""
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
        """One of its servers has answered; gives since when (ns) it was unreachable, 0 if it was not."""
        known = self.zones.get(zone)
        if known is None or not known.failed_servers:
            return 0
        unreachable_since_ns = known.unreachable_since_ns if self.is_unreachable(zone) else 0
        known.failed_servers.clear()
        return unreachable_since_ns
