"""The stand-in for etcd, driven by a client library that knows nothing of it."""

import asyncio
from collections.abc import AsyncIterator

import aetcd
import pytest
import pytest_asyncio
from peers import PATIENCE

from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster


@pytest_asyncio.fixture
async def world() -> AsyncIterator[EtcdCluster]:
    etcd = EtcdCluster()
    await etcd.start()
    yield etcd
    await etcd.close()


def client(world: EtcdCluster, **more: str) -> aetcd.Client:
    host, port = world.endpoints[0].split(":")
    return aetcd.Client(host=host, port=int(port), timeout=10, **more)


async def test_keys_are_put_read_and_deleted_under_revisions(world: EtcdCluster) -> None:
    async with client(world) as one:
        await one.put(b"/m/a", b"1")
        await one.put(b"/m/b", b"2")
        await one.put(b"/m/a", b"3")
        got = await one.get(b"/m/a")
        assert (got.value, got.create_revision, got.mod_revision, got.version) == (b"3", 2, 4, 2)
        listed = {pair.key: pair.value for pair in await one.get_prefix(b"/m/")}
        assert listed == {b"/m/a": b"3", b"/m/b": b"2"}
        assert await one.delete(b"/m/a")
        assert await one.get(b"/m/a") is None
        assert not await one.delete(b"/m/a")


async def test_a_watch_tells_what_came_after_its_revision_and_goes_on(world: EtcdCluster) -> None:
    async with client(world) as one:
        await one.put(b"/m/a", b"1")
        await one.put(b"/m/a", b"2")
        await one.delete(b"/m/a")
        watch = await one.watch_prefix(b"/m/", start_revision=3)
        seen = []
        async with asyncio.timeout(PATIENCE):
            async for event in watch:
                seen.append((event.kind, event.kv.value, event.kv.mod_revision))
                if len(seen) == 2:
                    await one.put(b"/m/b", b"4")
                if len(seen) == 3:
                    break
        assert [(str(kind).upper(), value, revision) for kind, value, revision in seen] == [
            ("PUT", b"2", 3),
            ("DELETE", b"", 4),
            ("PUT", b"4", 5),
        ]
        await watch.cancel()


async def test_a_watch_from_a_compacted_revision_is_cancelled_with_it(world: EtcdCluster) -> None:
    async with client(world) as one:
        for n in range(5):
            await one.put(b"/m/a", b"%d" % n)
        await one.compact(5)
        with pytest.raises(aetcd.RevisionCompactedError) as failed:
            async with asyncio.timeout(PATIENCE):
                async for _ in await one.watch_prefix(b"/m/", start_revision=2):
                    pass
        assert failed.value.compacted_revision == 5


async def test_a_lease_ends_and_takes_its_keys_with_it(world: EtcdCluster) -> None:
    now = [0.0]
    world.store.clock = lambda: now[0]
    async with client(world) as one:
        lease = await one.lease(5)
        await one.put(b"/m/a", b"1", lease=lease.id)
        now[0] = 4.0
        await one.refresh_lease(lease.id)
        now[0] = 8.0
        world.store.expire_leases()
        assert (await one.get(b"/m/a")).value == b"1"
        now[0] = 10.0
        world.store.expire_leases()
        assert await one.get(b"/m/a") is None


async def test_a_transaction_is_carried_out_only_where_its_comparisons_hold(world: EtcdCluster) -> None:
    async with client(world) as one:
        await one.put(b"/m/a", b"1")
        for value, held in ((b"1", True), (b"1", False)):
            done, _ = await one.transaction(
                compare=[one.transactions.value(b"/m/a") == value],
                success=[one.transactions.put(b"/m/a", b"2"), one.transactions.put(b"/m/b", b"2")],
                failure=[one.transactions.get(b"/m/a")],
            )
            assert done is held
        both = [await one.get(key) for key in (b"/m/a", b"/m/b")]
        assert [pair.mod_revision for pair in both] == [3, 3]  # one commit, one revision


async def test_a_user_needs_the_right_password(world: EtcdCluster) -> None:
    world.users["router"] = "secret"
    async with client(world, username="router", password="secret") as one:
        await one.put(b"/m/a", b"1")
        assert (await one.get(b"/m/a")).value == b"1"
    with pytest.raises(Exception, match=r"(?i)auth|password|argument"):
        async with client(world, username="router", password="wrong") as two:
            await two.get(b"/m/a")
