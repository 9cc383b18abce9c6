"""Counts events on client connections and logs the totals at intervals."""

import asyncio
import logging
from collections import Counter
from enum import StrEnum

LOG_INTERVAL_S = 10.0
log = logging.getLogger("rainhitch")


class ClientEvent(StrEnum):
    """The counted events; each value is the name of the event's field in the log line."""

    BAD_COMMAND = "bad_commands"
    CLOSED_IDLE = "closed_idle"
    ENDED_ON_ERROR = "ended_on_error"
    REJECTED = "rejected"
    REJECTED_COMMAND = "rejected_commands"


class ClientEvents:
    """Counts events and logs their totals in one line, LOG_INTERVAL_S after the first of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.counts: Counter[ClientEvent] = Counter()

    def count(self, event: ClientEvent) -> None:
        """Counts an event."""
        if not self.counts:
            self.loop.call_later(LOG_INTERVAL_S, self._log)
        self.counts[event] += 1

    def _log(self) -> None:
        fields = [f"{event}={count}" for event, count in sorted(self.counts.items())]
        log.info("client events %s", " ".join(fields))
        self.counts.clear()
