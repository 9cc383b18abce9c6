"""Request coalescing: a key has one origin read at a time, and other requests for the key wait for it."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import RequestStep
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.pending_request import IN_FLIGHT, PendingRequest


class RequestCoalescing:
    """Keys with an origin read in flight, and the requests waiting for each read."""

    def __init__(
        self,
        origin_admission: OriginAdmission,
        requests: dict[str, PendingRequest],
        proceed: RequestStep,
        finish_unserved: RequestStep,
    ) -> None:
        """Initializes without reads.

        `requests` are the router's pending requests by id. `proceed` continues a request, `finish_unserved`
        ends it.
        """
        self.context = origin_admission.context
        self.origin_admission = origin_admission
        self.requests = requests
        self.proceed = proceed
        self.finish_unserved = finish_unserved
        self.waiting_by_key: dict[str, list[PendingRequest]] = {}

    def __len__(self) -> int:
        """Returns the number of keys being read."""
        return len(self.waiting_by_key)

    def read_started(self, key: str) -> None:
        """Records the start of an origin read of this key."""
        self.waiting_by_key.setdefault(key, [])

    def join_or_read(self, pending: PendingRequest) -> None:
        """Makes a request wait for the read of its key in flight, or requests admission of its own read.

        This limits the origin reads of one key. A request waits at most until the end of its latency
        objective. After that it reads the origin itself.
        """
        now_ns = self.context.now_ns
        waiting = self.waiting_by_key.get(pending.request.key or "")
        if waiting is None or now_ns >= pending.objective_at_ns:
            self.origin_admission.admit(pending)
            return
        waiting.append(pending)
        pending.wait(api.RejectReason.READ_OF_ANOTHER_REQUEST)
        self.context.schedule(pending.objective_at_ns - now_ns, self.finish_unserved, pending)

    def read_finished(self, key: str, is_stored: bool) -> None:
        """Records the end of an origin read, and continues the requests that waited for it.

        If the value is now stored in the cache, they read it there, as do the requests that wait for a token
        to read the same key. If not, the first of them reads the origin, and the others wait for it.
        """
        waiting = self.waiting_by_key.pop(key, [])
        if is_stored:
            waiting += self.origin_admission.waiting_for(key)
        for pending in waiting:
            if self.requests.get(pending.request.id) is not pending or pending.state is IN_FLIGHT:
                continue
            self.origin_admission.withdraw(pending)
            if is_stored:
                pending.at_origin = False
                pending.tried_servers.clear()
                self.proceed(pending)
            else:
                self.join_or_read(pending)
