"""The fake etcd against an independent client library, which has its own copy of the API."""

import asyncio
from collections.abc import AsyncIterator

import aetcd
import pytest
import pytest_asyncio
from peers import PATIENCE

from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[EtcdCluster]:
    """A cluster of one member."""
    etcd = EtcdCluster()
    await etcd.start()
    yield etcd
    await etcd.close()


def client(cluster: EtcdCluster, **more: str) -> aetcd.Client:
    """Returns a client of the cluster's member; `more` are the library's own arguments."""
    host, port = cluster.endpoints[0].split(":")
    return aetcd.Client(host=host, port=int(port), timeout=10, **more)


async def test_keys_are_put_read_and_deleted_under_revisions(cluster: EtcdCluster) -> None:
    async with client(cluster) as etcd:
        await etcd.put(b"/m/a", b"1")
        await etcd.put(b"/m/b", b"2")
        await etcd.put(b"/m/a", b"3")
        got = await etcd.get(b"/m/a")
        assert (got.value, got.create_revision, got.mod_revision, got.version) == (b"3", 2, 4, 2)
        listed = {pair.key: pair.value for pair in await etcd.get_prefix(b"/m/")}
        assert listed == {b"/m/a": b"3", b"/m/b": b"2"}
        assert await etcd.delete(b"/m/a")
        assert await etcd.get(b"/m/a") is None
        assert not await etcd.delete(b"/m/a")


async def test_a_watch_sends_what_came_after_its_revision_and_goes_on(cluster: EtcdCluster) -> None:
    async with client(cluster) as etcd:
        await etcd.put(b"/m/a", b"1")
        await etcd.put(b"/m/a", b"2")
        await etcd.delete(b"/m/a")
        watch = await etcd.watch_prefix(b"/m/", start_revision=3)
        seen = []
        async with asyncio.timeout(PATIENCE):
            async for event in watch:
                seen.append((event.kind, event.kv.value, event.kv.mod_revision))
                if len(seen) == 2:
                    await etcd.put(b"/m/b", b"4")
                if len(seen) == 3:
                    break
        assert [(str(kind).upper(), value, revision) for kind, value, revision in seen] == [
            ("PUT", b"2", 3),
            ("DELETE", b"", 4),
            ("PUT", b"4", 5),
        ]
        await watch.cancel()


async def test_a_watch_from_a_compacted_revision_is_cancelled_with_that_revision(
    cluster: EtcdCluster,
) -> None:
    """A watch requests a history that was compacted.

    It must fail with the compacted revision, and must not start later as if nothing were missing.
    """
    async with client(cluster) as etcd:
        for n in range(5):
            await etcd.put(b"/m/a", b"%d" % n)
        await etcd.compact(5)
        with pytest.raises(aetcd.RevisionCompactedError) as failed:
            async with asyncio.timeout(PATIENCE):
                async for _ in await etcd.watch_prefix(b"/m/", start_revision=2):
                    pass
        assert failed.value.compacted_revision == 5


async def test_a_lease_that_is_not_renewed_ends_and_its_keys_are_deleted(cluster: EtcdCluster) -> None:
    now = [0.0]
    cluster.store.clock = lambda: now[0]
    async with client(cluster) as etcd:
        lease = await etcd.lease(5)
        await etcd.put(b"/m/a", b"1", lease=lease.id)
        now[0] = 4.0
        await etcd.refresh_lease(lease.id)
        now[0] = 8.0
        cluster.store.expire_leases()
        assert (await etcd.get(b"/m/a")).value == b"1"
        now[0] = 10.0
        cluster.store.expire_leases()
        assert await etcd.get(b"/m/a") is None


async def test_a_transaction_is_carried_out_only_where_its_comparisons_hold(cluster: EtcdCluster) -> None:
    async with client(cluster) as etcd:
        await etcd.put(b"/m/a", b"1")
        for value, held in ((b"1", True), (b"1", False)):
            done, _ = await etcd.transaction(
                compare=[etcd.transactions.value(b"/m/a") == value],
                success=[etcd.transactions.put(b"/m/a", b"2"), etcd.transactions.put(b"/m/b", b"2")],
                failure=[etcd.transactions.get(b"/m/a")],
            )
            assert done is held
        both = [await etcd.get(key) for key in (b"/m/a", b"/m/b")]
        assert [pair.mod_revision for pair in both] == [3, 3]  # one commit, one revision


async def test_a_user_needs_the_right_password(cluster: EtcdCluster) -> None:
    """A client logs in with a wrong password, and none of its calls is answered."""
    cluster.users["router"] = "secret"
    async with client(cluster, username="router", password="secret") as etcd:
        await etcd.put(b"/m/a", b"1")
        assert (await etcd.get(b"/m/a")).value == b"1"
    with pytest.raises(Exception, match=r"(?i)auth|password|argument"):
        async with client(cluster, username="router", password="wrong") as other:
            await other.get(b"/m/a")
