"""What connections say of themselves: HELLO, AUTH and the rest, without sockets."""

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainhitch.node.session import HANDLERS, Authenticator, Session
from rainhitch.protocol.resp import NEED_DATA
from rainhitch.protocol.resp3_reader import Resp3Reader
from rainhitch.protocol.resp3_types import ErrorReply, Map, SimpleString, text_of


def session(password: bytes = b"", ready: bool = True) -> Session:
    return Session(7, Authenticator(b"tablet", password), lambda: ready)


def ask(one: Session, *words: bytes) -> object:
    """The answer as a client reads it: whole, and nothing behind it."""
    text = one.command(list(words))
    assert text is not None
    reader = Resp3Reader()
    reader.feed(text)
    told = reader.next()
    assert told is not NEED_DATA and reader.idle()
    return told


def test_hello_tells_what_clients_read_in_either_protocol() -> None:
    one = session()
    told = ask(one, b"HELLO", b"3", b"SETNAME", b"t1")
    assert isinstance(told, Map) and told.get(b"proto") == 3 and told.get(b"server") == b"rainhitch"
    assert told.get(b"id") == 7 and told.get(b"modules") == []
    flat = ask(one, b"hello", b"2")
    assert isinstance(flat, list) and flat[flat.index(b"proto") + 1] == 2 and len(flat) == 14
    assert ask(one, b"CLIENT", b"GETNAME") == b"t1"
    assert isinstance(ask(one, b"HELLO"), list)  # the protocol stays


@pytest.mark.parametrize(
    ("words", "why"),
    [
        ((b"HELLO", b"4"), b"NOPROTO"),
        ((b"HELLO", b"1"), b"NOPROTO"),
        ((b"HELLO", b"x"), b"ERR Protocol version"),
        ((b"HELLO", b"3", b"AUTH", b"u"), b"ERR Syntax"),
        ((b"HELLO", b"3", b"SETNAME"), b"ERR Syntax"),
        ((b"HELLO", b"3", b"SETNAME", b"a b"), b"ERR Client names"),
        ((b"SELECT", b"1"), b"ERR DB index"),
        ((b"ECHO",), b"ERR wrong number"),
        ((b"PING", b"a", b"b"), b"ERR wrong number"),
        ((b"RESET", b"now"), b"ERR wrong number"),
        ((b"CLIENT", b"KILL", b"x"), b"ERR unknown subcommand"),
        ((b"CLIENT",), b"ERR unknown subcommand"),
        ((b"CLIENT", b"SETINFO", b"LIB-COLOUR", b"x"), b"ERR Unrecognized"),
        ((b"CLIENT", b"SETNAME", b"\n"), b"ERR Client names"),
        ((b"AUTH", b"x"), b"ERR AUTH called without"),
    ],
)
def test_what_can_not_be_done_gets_its_error_and_changes_nothing(
    words: tuple[bytes, ...], why: bytes
) -> None:
    one = session()
    told = ask(one, *words)
    assert isinstance(told, ErrorReply) and told.text.startswith(why)
    assert one.version == 2 and one.name == b""


def test_what_libraries_ask_at_connect() -> None:
    one = session()
    for words in (
        (b"CLIENT", b"SETINFO", b"LIB-NAME", b"redis-py"),
        (b"CLIENT", b"NO-EVICT", b"on"),
        (b"CLIENT", b"SETNAME", b"x"),
        (b"SELECT", b"0"),
    ):
        assert ask(one, *words) == SimpleString(b"OK")
    assert ask(one, b"CLIENT", b"ID") == 7
    assert ask(one, b"PING") == SimpleString(b"PONG") and ask(one, b"PING", b"hi") == b"hi"
    assert ask(one, b"ECHO", b"hi") == b"hi"
    assert ask(one, b"COMMAND") == [] and ask(one, b"COMMAND", b"COUNT") == 0
    ask(one, b"HELLO", b"3")
    assert ask(one, b"RESET") == SimpleString(b"RESET") and one.version == 2
    assert ask(one, b"CLIENT", b"GETNAME") is None


def test_with_a_password_nothing_else_is_answered_before_it() -> None:
    one = session(b"secret")
    for name in HANDLERS:
        if name not in (b"HELLO", b"AUTH"):
            assert ask(one, name) == ErrorReply(b"NOAUTH Authentication required.")
    told = ask(one, b"HELLO", b"3")
    assert isinstance(told, ErrorReply) and told.text.startswith(b"NOAUTH HELLO") and one.version == 2
    wrong = ((b"AUTH", b"no"), (b"AUTH", b"other", b"secret"), (b"HELLO", b"3", b"AUTH", b"tablet", b"no"))
    for words in wrong:
        told = ask(one, *words)
        assert isinstance(told, ErrorReply) and told.text.startswith(b"WRONGPASS") and not one.authenticated
    assert isinstance(ask(one, b"HELLO", b"3", b"AUTH", b"tablet", b"secret"), Map)
    assert ask(one, b"PING") == SimpleString(b"PONG")
    ask(one, b"RESET")
    assert ask(one, b"PING") == ErrorReply(b"NOAUTH Authentication required.")
    assert ask(one, b"AUTH", b"secret") == SimpleString(b"OK")  # of the one user there is


def test_ping_tells_whether_the_router_can_serve() -> None:
    told = ask(session(ready=False), b"PING", b"x")
    assert isinstance(told, ErrorReply) and told.text.startswith(b"LOADING")


@given(st.sampled_from(sorted(HANDLERS)), st.lists(st.binary(max_size=12), max_size=7), st.booleans())
def test_any_words_get_one_whole_answer_that_clients_can_read(
    name: bytes, rest: list[bytes], locked: bool
) -> None:
    one = session(b"secret" if locked else b"")
    text = one.command([name, *rest])
    assert text is not None
    reader = hiredis.Reader()
    reader.feed(text)
    assert reader.gets() is not False and reader.gets() is False
    assert text_of(b"") == b""
