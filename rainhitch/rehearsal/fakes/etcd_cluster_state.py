"""What the members of a fake etcd cluster share: the store, the users and the faults of the whole cluster."""

import asyncio
import itertools
from collections.abc import Callable

from rainhitch.rehearsal.fakes.etcd_store import EtcdStore

SILENCE_POLL_INTERVAL_S = 0.02


class EtcdClusterState:
    """One store, the users that may read it, and the faults; set the fault attributes to make them act.

    Attributes:
        store: the keys.
        users: passwords by user name; empty where no login is needed.
        tokens: the login tokens that are valid.
        refuse: every call fails as one to a member that does not run.
        leaderless: every call and watch fails as where the cluster has no leader; see `set_leader`.
        silent: calls are accepted and not answered until this is False again.
        delay_s: for how long each answer is held back, in seconds.
        progress_before_events: a watch reports progress before the events that the progress counts, as some
            released versions of etcd did.
        entry_sent: called with (member, key, whether it exists) for each entry that goes to a client.
        list_read: called with (member, begin of the range, keys) for each whole list that goes to a client.
        stream_generation: a watch stream ends once this differs from when the stream began.
    """

    def __init__(self) -> None:
        self.store = EtcdStore()
        self.users: dict[str, str] = {}
        self.tokens: set[str] = set()
        self.refuse = False
        self.leaderless = False
        self.silent = False
        self.delay_s = 0.0
        self.progress_before_events = False
        self.entry_sent: Callable[[int, bytes, bool], None] = lambda member, key, exists: None
        self.list_read: Callable[[int, bytes, list[bytes]], None] = lambda member, begin, keys: None
        self.stream_generation = 0
        self.watch_wake_ups: list[asyncio.Event] = []  # one for each open watch stream
        self._token_numbers = itertools.count(1)

    def issue_token(self, user: str) -> str:
        """A new token for a user who has logged in."""
        token = f"{user}.{next(self._token_numbers)}"
        self.tokens.add(token)
        return token

    async def hold_answer(self) -> None:
        """Waits while a fault delays or withholds answers."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.silent:
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)

    def wake_watches(self) -> None:
        """Has every watch stream look at the faults and the store again."""
        for wake_up in self.watch_wake_ups:
            wake_up.set()

    def drop(self) -> None:
        """Ends every watch stream, as a member that restarts does."""
        self.stream_generation += 1
        self.wake_watches()

    def set_leader(self, there: bool) -> None:
        """The cluster loses its leader, or has one again."""
        self.leaderless = not there
        self.wake_watches()

    def expire_tokens(self) -> None:
        """Makes every login token invalid."""
        self.tokens.clear()

    def restore(self, revision: int) -> None:
        """Comes back from a backup of a revision: every watch stream ends, the cluster's id is another."""
        self.store.restore(revision)
        self.drop()
