"""Which machine rooms this router can't reach, told by what fails there and nowhere answers.

A link that is cut, or a room that is lost, fails all its servers at once, and the list tells of it late,
if at all. Learned server by server it would cost all attempts of most requests. So failures at several
servers of a zone, with no answer from it in between, are taken for one of the zone: it is passed by, but
for a trial now and then, until one of its servers answers."""

from dataclasses import dataclass, field

ENOUGH = 3  # servers that failed in a row: where one in eight is bad, that comes by chance once in 500 times


@dataclass(slots=True)
class Zone:
    """One zone since its last answer."""

    failed: set[str] = field(default_factory=set)  # its servers whose attempts failed
    since: int = 0  # when it was taken as cut
    trials: int = 0
    until: int = 0  # not tried again before that


class ZoneReachability:
    """All zones on the list. `wait`: the least time between two trials. Times are ns."""

    def __init__(self, wait: int) -> None:
        self.wait = wait
        self.zones: dict[int, Zone] = {}

    def listed(self, zones: set[int]) -> None:
        """The cache servers' zones. Guards a fleet with one zone, which has nowhere else to go."""
        self.zones = {zone: self.zones.get(zone) or Zone() for zone in zones} if len(zones) > 1 else {}

    def cut(self, zone: int) -> bool:
        """Whether it is taken as out of reach."""
        known = self.zones.get(zone)
        return known is not None and len(known.failed) >= ENOUGH

    def open(self, zone: int, now: int) -> bool:
        """Whether an attempt may go there, on trial at least."""
        return not self.cut(zone) or now >= self.zones[zone].until

    def sent(self, zone: int, now: int) -> None:
        """An attempt goes there: the next trial waits twice as long as the last."""
        if self.cut(zone):
            known = self.zones[zone]
            known.trials = min(known.trials + 1, 4)
            known.until = now + (self.wait << known.trials)

    def failure(self, zone: int, server: str, now: int) -> bool:
        """An attempt there failed or was silent; whether the zone is taken as cut from now on."""
        known = self.zones.get(zone)
        if known is None or len(known.failed) >= ENOUGH:
            return False
        known.failed.add(server)
        if len(known.failed) < ENOUGH:
            return False
        known.since, known.trials, known.until = now, 0, now + self.wait
        return True

    def answer(self, zone: int) -> int:
        """One of its servers has answered; gives since when it was taken as cut, 0 if it was not."""
        known = self.zones.get(zone)
        if known is None or not known.failed:
            return 0
        since = known.since if self.cut(zone) else 0
        known.failed.clear()
        return since
