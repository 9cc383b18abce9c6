"""Runs a `WatchStateMachine` on etcd's API: makes the calls that the state machine requests.

It uses one connection to one endpoint, and one call at a time: a new call cancels the previous one, and a
cancelled call reports nothing. The state machine decides when to call again after a failure (backoff), and
at which endpoint.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

from grpclib.exceptions import StreamTerminatedError

from rainhitch import system
from rainhitch.membership.etcd_client import CALL_ERRORS, EtcdClient, EtcdOptions, describe_error, uid_of
from rainhitch.membership.watch_events import (
    Action,
    CallEnded,
    Change,
    Changes,
    Compacted,
    Event,
    LogWarning,
    Progress,
    Publish,
    ReadAll,
    RequestProgress,
    StoredValue,
    SwitchEndpoint,
    TimeElapsed,
    WatchFrom,
)
from rainhitch.membership.watch_state_machine import WatchStateMachine
from rainhitch.protocol import etcd

PROGRESS_REQUEST_TIMEOUT_S = 2.0  # time limit of sending a progress request
log = logging.getLogger("rainhitch")


class EtcdSource:
    """Follows the endpoint list in etcd until it is stopped.

    `publish(entries, whole)` receives changed values by uid, None for a deleted entry; with `whole`, all
    other entries are deleted. `known_uids` are the uids of the configuration's list. `clock` returns
    nanoseconds.
    """

    def __init__(
        self,
        options: EtcdOptions,
        publish: Callable[[dict[str, bytes | None], bool], None],
        seed: int,
        known_uids: list[str] | None = None,
        clock: Callable[[], int] = system.now,
    ) -> None:
        self.options = options
        self.publish = publish
        self.clock = clock
        self.machine = WatchStateMachine(Random(f"{seed}/membership"))
        # Guards against an empty first read: the configuration's endpoints count as known, so that a read
        # without them is suspicious.
        self.machine.view.known = dict.fromkeys(known_uids or (), StoredValue(0, b""))
        self.endpoint_switches = 0
        self.client: EtcdClient | None = None
        self.call: asyncio.Task[None] | None = None  # the read or watch in progress
        self.stream: Any = None  # the stream of the watch in progress
        self.progress_request: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    def start(self) -> None:
        """Starts to follow the list; does nothing if it was started before."""
        if self.timer is None and not self.stopped:
            self._perform(self.machine.start(self.clock()))

    def stop(self) -> None:
        """Stops; the source cannot be started again."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._disconnect()

    def _report(self, event: Event) -> None:
        if not self.stopped:
            self._perform(self.machine.handle(self.clock(), event))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case ReadAll():
                    self._start_call(self._read)
                case WatchFrom():
                    self._start_call(partial(self._watch, action.revision))
                case RequestProgress():
                    self._request_progress()
                case SwitchEndpoint():
                    self._disconnect()
                    self.endpoint_switches += 1
                case Publish():
                    self._publish(action)
                case LogWarning():
                    log.warning("%s", action.text)
        if self.timer is not None:
            self.timer.cancel()
        wait_s = max(0.0, (self.machine.wake_at_ns - self.clock()) / 1e9)
        self.timer = asyncio.get_running_loop().call_later(wait_s, self._report, TimeElapsed())

    def _publish(self, action: Publish) -> None:
        try:
            self.publish(action.entries, action.whole)
        except Exception:
            # The outermost frame of applying a list: a failure there must not end the watch, since later
            # changes would be lost.
            log.exception("etcd list not applied reason=internal_error")

    def _disconnect(self) -> None:
        if self.call is not None:
            self.call.cancel()
        if self.client is not None:
            self.client.close()
        self.call = None
        self.client = None
        self.stream = None

    def _start_call(self, call: Callable[[], Awaitable[None]]) -> None:
        """Cancels the call in progress and starts another."""
        if self.call is not None:
            self.call.cancel()
        self.stream = None
        self.call = asyncio.ensure_future(self._run_call(call))

    async def _run_call(self, call: Callable[[], Awaitable[None]]) -> None:
        """Runs a call and reports its failure, unless another call has replaced it."""
        this_call = asyncio.current_task()
        try:
            await call()
        except CALL_ERRORS as problem:
            failure = describe_error(problem)
        except Exception as problem:
            # The outermost frame of a call: an unexpected exception counts as a failed call, so that the call
            # is retried.
            log.exception("etcd call failed reason=internal_error")
            failure = describe_error(problem)
        else:
            return
        if self.call is this_call:
            self._report(CallEnded(failure))

    def _connected_client(self) -> EtcdClient:
        if self.client is None:
            endpoints = self.options.endpoints
            self.client = EtcdClient(self.options, endpoints[self.endpoint_switches % len(endpoints)])
        return self.client

    async def _read(self) -> None:
        self._report(await self._connected_client().read_all(self.options.prefix))

    async def _watch(self, revision: int) -> None:
        """Watches from a revision on until it is compacted; any other end raises one of CALL_ERRORS."""
        client = self._connected_client()
        async with client.stream("Watch/Watch", await client.metadata()) as stream:
            await stream.send_message(self._watch_request(revision))
            self.stream = stream
            fragments: list[Any] = []
            while (response := await stream.recv_message()) is not None:
                if response.canceled:
                    if response.compact_revision:
                        await stream.cancel()
                        self._report(Compacted())
                        return
                    raise StreamTerminatedError(response.cancel_reason or "the watch was cancelled")
                fragments.append(response)
                if not response.fragment:
                    self._report_response(fragments)
                    fragments = []
            await stream.recv_trailing_metadata()  # raises the server's reason
            raise StreamTerminatedError("the watch ended")

    def _watch_request(self, revision: int) -> Any:
        key = self.options.prefix.encode()
        create = etcd.message(
            "WatchCreateRequest",
            key=key,
            range_end=etcd.prefix_end(key),
            start_revision=revision,
            progress_notify=True,
            fragment=True,
        )
        return etcd.message("WatchRequest", create_request=create)

    def _report_response(self, fragments: list[Any]) -> None:
        """Reports a response of the watch, which may consist of several fragments."""
        last = fragments[-1]
        changes = [
            self._change(event.kv, event.type == etcd.DELETE)
            for fragment in fragments
            for event in fragment.events
        ]
        if changes:
            self._report(Changes(last.header.cluster_id, changes))
            return
        # The response that creates a watch has etcd's current revision, not the progress of this watch.
        revision = self.machine.view.revision if last.created else last.header.revision
        self._report(Progress(last.header.cluster_id, revision))

    def _change(self, entry: Any, is_deleted: bool) -> Change:
        uid = uid_of(entry.key, self.options.prefix)
        return Change(uid, entry.mod_revision, None if is_deleted else entry.value)

    def _request_progress(self) -> None:
        if self.stream is not None:
            self.progress_request = asyncio.ensure_future(self._send_progress_request(self.stream))

    async def _send_progress_request(self, stream: Any) -> None:
        request = etcd.message("WatchRequest", progress_request=etcd.message("WatchProgressRequest"))
        try:
            await asyncio.wait_for(stream.send_message(request), PROGRESS_REQUEST_TIMEOUT_S)
        except CALL_ERRORS as problem:
            if self.stream is stream:
                self._report(CallEnded(describe_error(problem)))
