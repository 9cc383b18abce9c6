"""The operator's [membership] table, and `rainhitch members` as a process against the fake etcd."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
import trustme
from peers import PATIENCE, entry, wait_until
from program import ROOT, configuration, started

from rainhitch.membership import editing
from rainhitch.membership.errors import ChangeRejectedError, MembershipError
from rainhitch.membership.etcd_client import EtcdClient, EtcdOptions
from rainhitch.membership.etcd_settings import etcd_options
from rainhitch.operator_config import Membership, read_operator_config
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.toml_schema import TableError

KEY = b"/rainhitch/members/"


@pytest_asyncio.fixture
async def etcd() -> AsyncIterator[EtcdCluster]:
    """A fake etcd with two entries."""
    cluster = EtcdCluster()
    await cluster.start()
    for name in ("c0", "c1"):
        cluster.store.put(KEY + name.encode(), json.dumps(entry(name, "127.0.0.1:1")).encode())
    yield cluster
    await cluster.close()


def operator_file(tmp_path: Path, etcd: EtcdCluster, more: str = "") -> Path:
    """Returns the path of an operator's file that names this etcd."""
    path = tmp_path / "operator.toml"
    endpoints = json.dumps(etcd.endpoints)
    path.write_text(f'[membership]\nsource = "etcd"\nendpoints = {endpoints}\n{more}')
    return path


async def run_members(path: Path, *arguments: str) -> tuple[int, str, str]:
    """Runs `rainhitch members`; returns exit code, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainhitch",
        "members",
        "--operator",
        str(path),
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await asyncio.wait_for(process.communicate(), PATIENCE)
    return process.returncode or 0, out.decode(), err.decode()


async def test_a_member_is_listed_drained_and_restored(tmp_path: Path, etcd: EtcdCluster) -> None:
    path = operator_file(tmp_path, etcd)
    etcd.store.put(KEY + b"odd", b"{")
    code, out, _ = await run_members(path, "list")
    assert code == 0 and out.startswith("2 members of 3 keys") and f"revision {etcd.store.revision}" in out
    assert "odd" in out and "can't be read" in out
    code, out, _ = await run_members(path, "drain", "c0")
    assert (code, out) == (0, f"c0 is Terminating, revision {etcd.store.revision}\n")
    code, _, err = await run_members(path, "drain", "c0")
    assert code == 1 and "it is Terminating already" in err
    assert (await run_members(path, "restore", "c0"))[0] == 0
    code, _, err = await run_members(path, "drain", "c9")
    assert code == 1 and "no such member" in err


async def test_a_member_retires_and_drains_unless_somebody_else_has_changed_it(
    tmp_path: Path, etcd: EtcdCluster
) -> None:
    path = operator_file(tmp_path, etcd)
    code, out, _ = await run_members(path, "retire", "c0", "--drain-after", "0.1")
    assert code == 0 and [line.split(",")[0] for line in out.splitlines()] == [
        "c0 is Retiring",
        "c0 is Terminating",
    ]
    retiring = asyncio.create_task(run_members(path, "retire", "c1", "--drain-after", "3"))
    await wait_until(lambda: "Retiring" in str(etcd.store.at(KEY + b"c1", etcd.store.revision)))
    etcd.store.put(KEY + b"c1", json.dumps(entry("c1", "127.0.0.1:1")).encode())
    code, _, err = await retiring
    assert code == 1 and "somebody else has made it Ready" in err


async def test_a_file_is_put_whole_or_not_at_all(tmp_path: Path, etcd: EtcdCluster) -> None:
    path, file = operator_file(tmp_path, etcd), tmp_path / "list.json"
    file.write_text(json.dumps([entry("c8", "127.0.0.1:8"), entry("c0", "127.0.0.1:7")]))
    before = etcd.store.revision
    assert (await run_members(path, "put", str(file)))[0] == 0
    assert etcd.store.revision == before + 1
    for content, expected_text in (
        ("{", "not JSON"),
        ("[]", "a list of entries"),
        (json.dumps([entry("c1", "x")]), "host:port"),
        (json.dumps([entry("c1", "h:1", state="Gone")]), "allowed are Ready"),
        (json.dumps([entry("c1", "h:1")] * 2), "a unique, non-empty string"),
    ):
        file.write_text(content)
        code, _, err = await run_members(path, "put", str(file))
        assert code == 1 and expected_text in err, err
    assert etcd.store.revision == before + 1


async def test_two_operators_do_not_undo_one_another(etcd: EtcdCluster) -> None:
    client = EtcdClient(
        EtcdOptions([("127.0.0.1", etcd.members[0].port)]), ("127.0.0.1", etcd.members[0].port)
    )
    stale_entry = await editing.read_entry(client, "c0")
    await editing.set_state(client, "c0", "Terminating")
    with pytest.raises(ChangeRejectedError, match="somebody else changed an entry"):
        await editing.commit(client, [(stale_entry, b"{}")])
    missing_entry = await editing.read_entry(client, "new")
    await editing.put(client, [entry("new", "h:1")])
    with pytest.raises(ChangeRejectedError):
        await editing.commit(client, [(missing_entry, b"{}")])  # the entry did not exist when it was read
    client.close()


async def test_changes_are_shown_as_they_come(tmp_path: Path, etcd: EtcdCluster) -> None:
    watching = asyncio.create_task(run_members(operator_file(tmp_path, etcd), "watch", "--for", "4"))
    await wait_until(lambda: etcd.watch_wake_ups)
    etcd.store.delete(KEY + b"c1")
    code, out, _ = await watching
    assert code == 0 and out.splitlines() == ["the list, 2 entries", "c1 Gone"]


async def test_an_unreachable_etcd_and_a_bad_table_end_with_one_plain_line(
    tmp_path: Path, etcd: EtcdCluster
) -> None:
    path = operator_file(tmp_path, etcd, "timeout_s = 0.5\n")
    etcd.refuse = True
    code, _, err = await run_members(path, "list")
    assert code == 3 and "etcd did not answer" in err
    path.write_text("")
    code, _, err = await run_members(path, "list")
    assert code == 2 and "there is no list in etcd" in err


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ('endpoints = ["nowhere"]', "allowed is host:port"),
        ('endpoints = ["h:0"]', "allowed is host:port"),
        ('certificate = "a"', "allowed are both or neither"),
        ('certificate = "a"\nkey = "b"', "needs membership.ca"),
        ('user = "a"', "allowed are both or neither"),
        ('prefix = "x"', "allowed is a string of at least 2 characters that ends with /"),
        ('source = "zookeeper"', "one of discovery, etcd"),
        ("timeout_s = 0", "a number from 0.1 to 60"),
    ],
)
def test_each_bad_key_of_the_table_is_one_line(tmp_path: Path, text: str, expected_text: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(f"[membership]\n{text}\n")
    with pytest.raises(TableError) as failed:
        read_operator_config(path)
    assert len(failed.value.lines) == 1 and expected_text in failed.value.lines[0]


def test_files_that_cannot_be_used_are_rejected(tmp_path: Path) -> None:
    bad = tmp_path / "bad.pem"
    bad.write_text("no certificate")
    for table in (
        Membership(ca=str(tmp_path / "missing.pem")),
        Membership(ca=str(bad)),
        Membership(user="u", password_file=str(tmp_path / "missing")),
    ):
        with pytest.raises(MembershipError):
            etcd_options(table)


@pytest.mark.parametrize("trusted", [True, False])
async def test_tls_is_checked_on_both_sides(tmp_path: Path, trusted: bool) -> None:
    import ssl

    authority, other = trustme.CA(), trustme.CA()
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(context)
    context.verify_mode = ssl.CERT_REQUIRED
    authority.configure_trust(context)
    context.set_alpn_protocols(["h2"])
    etcd = EtcdCluster(tls=context)
    await etcd.start()
    etcd.store.put(KEY + b"c0", json.dumps(entry("c0", "127.0.0.1:1")).encode())
    ca, client_certificate = tmp_path / "ca.pem", authority.issue_cert("router@example.org")
    (authority if trusted else other).cert_pem.write_to_path(str(ca))
    client_certificate.private_key_pem.write_to_path(str(tmp_path / "key.pem"))
    client_certificate.cert_chain_pems[0].write_to_path(str(tmp_path / "cert.pem"))
    more = f'ca = "{ca}"\ncertificate = "{tmp_path}/cert.pem"\nkey = "{tmp_path}/key.pem"\n'
    code, out, err = await run_members(operator_file(tmp_path, etcd, more), "list")
    assert (code, "1 members" in out, "did not answer" in err) == (
        (0, True, False) if trusted else (3, False, True)
    )
    await etcd.close()


async def test_a_router_follows_etcd_and_serves_from_its_known_list_while_etcd_is_unavailable(
    tmp_path: Path, etcd: EtcdCluster
) -> None:
    """While etcd is unavailable at the start, PING is answered by the known list alone."""
    known = {"rev": 3, "all": True, "targets": [entry("k0", "127.0.0.1:1")]}
    etcd.refuse = True
    env = {
        **configuration(tmp_path, known=known),
        "RAINHITCH_OPERATOR": str(operator_file(tmp_path, etcd)),
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainhitch", env={**os.environ, **env}, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )
    try:
        address = await started(process)

        async def ping() -> bytes:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), PATIENCE)
            writer.close()
            return line

        assert await ping() == b"+PONG\r\n"
        for name in (b"c0", b"c1"):
            state = json.dumps(entry(name.decode(), "127.0.0.1:1", state="Terminating")).encode()
            etcd.store.put(KEY + name, state)
        etcd.refuse = False
        async with asyncio.timeout(PATIENCE):
            while not (await ping()).startswith(b"-LOADING"):  # the list was read: no endpoint is ready
                await asyncio.sleep(0.05)
        etcd.store.put(KEY + b"c0", json.dumps(entry("c0", "127.0.0.1:1")).encode())
        async with asyncio.timeout(PATIENCE):
            while await ping() != b"+PONG\r\n":
                await asyncio.sleep(0.05)
    finally:
        process.terminate()
        await asyncio.wait_for(process.communicate(), PATIENCE)
    assert process.returncode == 0
