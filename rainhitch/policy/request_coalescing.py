"""Request coalescing: one origin read of a key at a time; other requests for the key wait for it."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import RequestStep
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.pending_request import IN_FLIGHT, PendingRequest


class RequestCoalescing:
    """The keys that are being read from the origin, and the requests that wait for each read."""

    def __init__(
        self,
        origin_admission: OriginAdmission,
        requests: dict[str, PendingRequest],
        proceed: RequestStep,
        finish_unserved: RequestStep,
    ) -> None:
        """Takes the router's held requests by id, and what sends one on or ends it."""
        self.context = origin_admission.context
        self.origin_admission = origin_admission
        self.requests = requests
        self.proceed = proceed
        self.finish_unserved = finish_unserved
        self.waiting_by_key: dict[str, list[PendingRequest]] = {}

    def __len__(self) -> int:
        """How many keys are being read."""
        return len(self.waiting_by_key)

    def read_started(self, key: str) -> None:
        """An origin read of this key is in flight from now on."""
        self.waiting_by_key.setdefault(key, [])

    def join_or_read(self, pending: PendingRequest) -> None:
        """Lets a request wait for the read of its key that is in flight, else asks for a read of its own.

        Guards against a flood of origin reads for one key. The wait lasts until the request's latency
        objective at most; past that a request reads on its own.
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
        """An origin read has ended; sends on the requests that waited for it.

        If the value is now stored in the cache, they are sent there, together with those that wait for a
        token to read the same key. If not, the first of them reads, and the others wait again.
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
