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
    """A session with the user `tablet`, of a router that is ready or not."""
    return Session(7, Authenticator(b"tablet", password), lambda: ready)


def ask(one: Session, *words: bytes) -> object:
    """The answer as a client reads it: whole, and nothing behind it."""
    text = one.handle(list(words))
    assert text is not None
    reader = Resp3Reader()
    reader.feed(text)
    answer = reader.next()
    assert answer is not NEED_DATA and reader.idle()
    return answer


def test_hello_describes_the_router_in_either_version() -> None:
    """A map in version 3, a flat array in version 2."""
    one = session()
    answer = ask(one, b"HELLO", b"3", b"SETNAME", b"t1")
    assert isinstance(answer, Map) and answer.get(b"proto") == 3 and answer.get(b"server") == b"rainhitch"
    assert answer.get(b"id") == 7 and answer.get(b"modules") == []
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
def test_an_invalid_command_gets_its_error_and_changes_nothing(words: tuple[bytes, ...], why: bytes) -> None:
    """Version and name of the connection stay."""
    one = session()
    answer = ask(one, *words)
    assert isinstance(answer, ErrorReply) and answer.text.startswith(why)
    assert one.version == 2 and one.name == b""


def test_commands_that_libraries_send_at_connect_are_answered() -> None:
    """As their defaults want it."""
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


def test_no_command_is_served_before_the_password() -> None:
    """HELLO and AUTH excepted, which may carry it."""
    one = session(b"secret")
    for name in HANDLERS:
        if name not in (b"HELLO", b"AUTH"):
            assert ask(one, name) == ErrorReply(b"NOAUTH Authentication required.")
    answer = ask(one, b"HELLO", b"3")
    assert isinstance(answer, ErrorReply) and answer.text.startswith(b"NOAUTH HELLO") and one.version == 2
    wrong = ((b"AUTH", b"no"), (b"AUTH", b"other", b"secret"), (b"HELLO", b"3", b"AUTH", b"tablet", b"no"))
    for words in wrong:
        answer = ask(one, *words)
        assert (
            isinstance(answer, ErrorReply) and answer.text.startswith(b"WRONGPASS") and not one.authenticated
        )
    assert isinstance(ask(one, b"HELLO", b"3", b"AUTH", b"tablet", b"secret"), Map)
    assert ask(one, b"PING") == SimpleString(b"PONG")
    ask(one, b"RESET")
    assert ask(one, b"PING") == ErrorReply(b"NOAUTH Authentication required.")
    assert ask(one, b"AUTH", b"secret") == SimpleString(b"OK")  # of the one user there is


def test_ping_is_an_error_while_the_router_can_not_serve() -> None:
    """Health checks use it."""
    answer = ask(session(ready=False), b"PING", b"x")
    assert isinstance(answer, ErrorReply) and answer.text.startswith(b"LOADING")


@given(st.sampled_from(sorted(HANDLERS)), st.lists(st.binary(max_size=12), max_size=7), st.booleans())
def test_any_arguments_get_exactly_one_readable_answer(name: bytes, rest: list[bytes], locked: bool) -> None:
    """No arguments break the stream of answers."""
    one = session(b"secret" if locked else b"")
    text = one.handle([name, *rest])
    assert text is not None
    reader = hiredis.Reader()
    reader.feed(text)
    assert reader.gets() is not False and reader.gets() is False
    assert text_of(b"") == b""
