"""Ordinary client libraries against the router, with their defaults, in both protocols."""

import asyncio
from typing import Any

import coredis
import pytest
import redis.asyncio
from peers import MISS, Bench, hit, router

from rainhitch.node.session import Authenticator

INFO = "c=read,t=acme,d=9000"


def served(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
    """A cache server's answer: a value, a miss for `cold`, none for `slow`."""
    if asked[1] == b"slow":
        return None
    return MISS if asked[1] == b"cold" else hit(b"of " + asked[1])


async def redis_py(bench: Bench, protocol: int, **more: Any) -> Any:
    """A client of redis-py with its defaults."""
    return redis.asyncio.Redis(host="127.0.0.1", port=bench.port, protocol=protocol, **more)


@pytest.mark.parametrize("protocol", [2, 3])
async def test_redis_py_connects_requests_pipelines_and_reconnects(protocol: int) -> None:
    """All that an ordinary client does, in both versions."""
    async with router(served) as bench:
        client = await redis_py(bench, protocol)
        assert await client.ping()
        assert await client.execute_command("C.GET", "k", "r1", INFO) == b"of k"
        assert await client.execute_command("C.GET", "cold", "r2", INFO) == b"from origin"
        put = "c=put,t=acme,d=9000,k=77"
        assert await client.execute_command("C.SET", "k", "r3", put, b"value") == b"from origin"
        async with client.pipeline(transaction=False) as pipeline:
            for n in range(3):
                pipeline.execute_command("C.GET", f"k{n}", f"p{n}", INFO)
            assert await pipeline.execute() == [b"of k%d" % n for n in range(3)]
        with pytest.raises(redis.ResponseError, match="unknown class"):
            await client.execute_command("C.GET", "k", "r4", "c=none,t=acme,d=9")
        for one in list(bench.clients.connections):
            one.abort()
        assert await client.execute_command("C.GET", "k", "r5", INFO) == b"of k"
        await client.aclose()


@pytest.mark.parametrize("protocol", [2, 3])
async def test_redis_py_reconnects_after_its_own_timeout(protocol: int) -> None:
    """Its late answer must not be taken for the next one."""
    from redis.asyncio.retry import Retry
    from redis.backoff import NoBackoff

    async with router(served) as bench:
        client = await redis_py(bench, protocol, socket_timeout=0.2, retry=Retry(NoBackoff(), 0))
        with pytest.raises(redis.TimeoutError):
            await client.execute_command("C.GET", "slow", "r1", INFO)
        assert await client.execute_command("C.GET", "k", "r2", INFO) == b"of k"
        await client.aclose()


@pytest.mark.parametrize("protocol", [2, 3])
async def test_redis_py_authenticates(protocol: int) -> None:
    """A wrong user or password is an authentication error."""
    async with router(served) as bench:
        bench.clients.authenticator = Authenticator(b"tablet", b"secret")
        for user, password in (("tablet", "wrong"), ("nobody", "secret")):
            bad = await redis_py(bench, protocol, username=user, password=password)
            with pytest.raises(redis.AuthenticationError):
                await bad.ping()
            await bad.aclose()
        client = await redis_py(bench, protocol, username="tablet", password="secret", client_name="t1")
        assert await client.execute_command("C.GET", "k", "r1", INFO) == b"of k"
        assert await client.client_getname() in ("t1", b"t1")
        await client.aclose()


async def test_coredis_connects_and_asks() -> None:
    """It speaks RESP3 alone."""
    async with router(served) as bench:
        client: coredis.Redis[bytes] = coredis.Redis(host="127.0.0.1", port=bench.port)
        async with client:
            assert await client.ping() == b"PONG"

            def get(n: int) -> Any:
                """A read of a key by its number."""
                words = (f"k{n}", f"r{n}", INFO)
                return client.create_request(b"C.GET", *words, callback=lambda answer, **_: answer)

            assert await asyncio.gather(*(get(n) for n in range(5))) == [b"of k%d" % n for n in range(5)]
