"""What a router counts of itself from its start, and the statsd lines that report it."""

from dataclasses import dataclass, field

PREFIX = "app"


@dataclass(slots=True)
class RouterMetrics:
    """Counts since the process began; the lists are by class, in the settings' order."""

    names: list[str]
    served: list[int] = field(default_factory=list)
    rejected: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    in_flight: int = 0  # requests accepted and not ended
    configurations_applied: int = 0  # on SIGHUP
    configurations_rejected: int = 0

    def __post_init__(self) -> None:
        for counts in (self.served, self.rejected, self.failed):
            counts.extend([0] * (len(self.names) - len(counts)))

    def lines(self, tries: int, pool_size: int, pool_ejected: int) -> list[str]:
        """The metrics as statsd reads them: `|c` is a counter, `|g` a gauge.

        `tries`: attempts written whole; `pool_size`: cache servers on the list; `pool_ejected`: those of them
        that get no requests.
        """
        lines = []
        by_class = (("ok", self.served), ("shed", self.rejected), ("errors", self.failed))
        for class_index, class_name in enumerate(self.names):
            for name, counts in by_class:
                lines.append(f"{PREFIX}.responses.{class_name}.{name}:{counts[class_index]}|c")
        counters = (
            ("tries", tries),
            ("config_applied", self.configurations_applied),
            ("config_rejected", self.configurations_rejected),
        )
        lines += [f"{PREFIX}.{name}:{count}|c" for name, count in counters]
        gauges = (("active", self.in_flight), ("pool_size", pool_size), ("pool_ejected", pool_ejected))
        return lines + [f"{PREFIX}.{name}:{count}|g" for name, count in gauges]
