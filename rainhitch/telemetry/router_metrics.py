"""What a router counts of itself from its start, and how it is told: statsd's lines."""

from dataclasses import dataclass, field

PREFIX = "app"


@dataclass(slots=True)
class RouterMetrics:
    """Counts since the process began; the lists are by class, in the settings' order."""

    names: list[str]
    served: list[int] = field(default_factory=list)
    rejected: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    in_flight: int = 0  # requests taken and not ended
    configurations_applied: int = 0  # configurations taken up on SIGHUP
    configurations_rejected: int = 0

    def __post_init__(self) -> None:
        for counts in (self.served, self.rejected, self.failed):
            counts.extend([0] * (len(self.names) - len(counts)))

    def lines(self, tries: int, pool_size: int, pool_ejected: int) -> list[str]:
        """The figures as statsd takes them: |c counts, |g is a gauge. `tries`: attempts written whole;
        `pool_size`: cache servers on the list; `pool_ejected`: those of them that are avoided."""
        told = []
        for number, name in enumerate(self.names):
            for what, counts in (("ok", self.served), ("shed", self.rejected), ("errors", self.failed)):
                told.append(f"{PREFIX}.responses.{name}.{what}:{counts[number]}|c")
        told += [
            f"{PREFIX}.{what}:{count}|c"
            for what, count in (
                ("tries", tries),
                ("config_applied", self.configurations_applied),
                ("config_rejected", self.configurations_rejected),
            )
        ]
        gauges = (("active", self.in_flight), ("pool_size", pool_size), ("pool_ejected", pool_ejected))
        return told + [f"{PREFIX}.{what}:{count}|g" for what, count in gauges]
