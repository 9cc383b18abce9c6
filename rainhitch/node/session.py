"""Connection-level state and commands of a client: protocol version, name, password. Does no I/O.

`Session.handle` answers the commands that client libraries send at connect time and between requests;
requests are handled elsewhere. A response is encoded for the protocol version in force when its command was
read; for HELLO and RESET that is the version they switch to.
"""

from collections.abc import Callable
from dataclasses import dataclass

from rainhitch import __version__
from rainhitch.protocol.resp import bulk_string

MAX_NAME_BYTES = 128  # maximum length of a client name and of library info
NO_AUTH = b"-NOAUTH Authentication required.\r\n"
WRONG_PASS = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
# Commands that clients send before their first request.
HANDSHAKE_COMMANDS = frozenset((b"HELLO", b"AUTH", b"CLIENT", b"SELECT", b"COMMAND", b"RESET"))
ALLOWED_BEFORE_AUTH = frozenset((b"HELLO", b"AUTH", b"QUIT"))
OK = b"+OK\r\n"


@dataclass(frozen=True, slots=True)
class Authenticator:
    """The user and password that clients must give; an empty password disables authentication."""

    user: bytes = b"default"
    password: bytes = b""

    def admits(self, user: bytes, password: bytes) -> bool:
        """Returns whether the user and the password match."""
        import hmac  # imported only if a password is set

        # Constant-time comparison: the time of a rejection must not reveal how much of the password matches.
        is_user = hmac.compare_digest(user, self.user)
        return hmac.compare_digest(password, self.password) and is_user


NO_PASSWORD_NEEDED = Authenticator()


def _is_printable(text: bytes) -> bool:
    return len(text) <= MAX_NAME_BYTES and all(33 <= byte <= 126 for byte in text)


class Session:
    """The connection-level state of one client; `can_serve` determines the response to PING."""

    __slots__ = ("authenticated", "authenticator", "can_serve", "id", "name", "version")

    def __init__(self, id: int, authenticator: Authenticator, can_serve: Callable[[], bool]) -> None:
        self.id = id
        self.authenticator = authenticator
        self.can_serve = can_serve
        self.version = 2  # RESP protocol version
        self.name = b""
        self.authenticated = not authenticator.password

    def handle(self, parts: list[bytes]) -> bytes | None:
        """Returns the response to a command, or None if it is not a connection-level command."""
        name = parts[0].upper() if parts else b""
        if not self.authenticated and name not in ALLOWED_BEFORE_AUTH:
            return NO_AUTH
        handler = HANDLERS.get(name)
        return None if handler is None else handler(self, parts[1:])

    def _ping(self, arguments: list[bytes]) -> bytes:
        if len(arguments) > 1:
            return _wrong_argument_count(b"ping")
        if not self.can_serve():
            return b"-LOADING no server list yet\r\n"
        return bulk_string(arguments[0]) if arguments else b"+PONG\r\n"

    def _echo(self, arguments: list[bytes]) -> bytes:
        return bulk_string(arguments[0]) if len(arguments) == 1 else _wrong_argument_count(b"echo")

    def _select(self, arguments: list[bytes]) -> bytes:
        return OK if arguments == [b"0"] else b"-ERR DB index is out of range\r\n"

    def _auth(self, arguments: list[bytes]) -> bytes:
        if not 1 <= len(arguments) <= 2:
            return _wrong_argument_count(b"auth")
        if not self.authenticator.password:
            return b"-ERR AUTH called without any password configured\r\n"
        user = arguments[0] if len(arguments) == 2 else self.authenticator.user
        password = arguments[-1]
        if not self.authenticator.admits(user, password):
            return WRONG_PASS
        self.authenticated = True
        return OK

    def _hello(self, arguments: list[bytes]) -> bytes:
        version = self.version
        if arguments:
            if not arguments[0].isdigit() or len(arguments[0]) > 9:
                return b"-ERR Protocol version is not an integer or out of range\r\n"
            version = int(arguments[0])
            arguments = arguments[1:]
            if version not in (2, 3):
                return b"-NOPROTO unsupported protocol version\r\n"
        name = self.name
        user = b""
        password: bytes | None = None
        while arguments:
            word = arguments[0].upper()
            if word == b"AUTH" and len(arguments) >= 3:
                user = arguments[1]
                password = arguments[2]
                arguments = arguments[3:]
            elif word == b"SETNAME" and len(arguments) >= 2:
                name = arguments[1]
                arguments = arguments[2:]
                if not _is_printable(name):
                    return b"-ERR Client names cannot contain spaces, newlines or special characters.\r\n"
            else:
                return b"-ERR Syntax error in HELLO\r\n"
        if password is not None and self.authenticator.password:
            if not self.authenticator.admits(user, password):
                return WRONG_PASS
            self.authenticated = True
        if not self.authenticated:
            return b"-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time\r\n"  # noqa: E501
        self.version = version
        self.name = name
        return self._hello_response()

    def _hello_response(self) -> bytes:
        """Returns the response to HELLO: a map, or in protocol 2 an array with twice as many items."""
        pairs = (
            (b"server", bulk_string(b"rainhitch")),
            (b"version", bulk_string(__version__.encode())),
            (b"proto", b":%d\r\n" % self.version),
            (b"id", b":%d\r\n" % self.id),
            (b"mode", bulk_string(b"standalone")),
            (b"role", bulk_string(b"master")),
            (b"modules", b"*0\r\n"),
        )
        head = b"%%%d\r\n" % len(pairs) if self.version == 3 else b"*%d\r\n" % (2 * len(pairs))
        return head + b"".join(bulk_string(key) + value for key, value in pairs)

    def _reset(self, arguments: list[bytes]) -> bytes:
        if arguments:
            return _wrong_argument_count(b"reset")
        self.version = 2
        self.name = b""
        self.authenticated = not self.authenticator.password
        return b"+RESET\r\n"

    def _client(self, arguments: list[bytes]) -> bytes:
        word = arguments[0].upper() if arguments else b""
        rest = arguments[1:]
        if word == b"ID" and not rest:
            return b":%d\r\n" % self.id
        if word == b"GETNAME" and not rest:
            if self.name:
                return bulk_string(self.name)
            return b"_\r\n" if self.version == 3 else b"$-1\r\n"
        if word == b"SETNAME" and len(rest) == 1:
            if not _is_printable(rest[0]):
                return b"-ERR Client names cannot contain spaces, newlines or special characters.\r\n"
            self.name = rest[0]
            return OK
        if word == b"SETINFO" and len(rest) == 2:
            if rest[0].upper() not in (b"LIB-NAME", b"LIB-VER"):
                return b"-ERR Unrecognized option\r\n"
            return OK if _is_printable(rest[1]) else b"-ERR lib info cannot contain spaces or newlines\r\n"
        if word in (b"NO-EVICT", b"NO-TOUCH") and len(rest) == 1 and rest[0].upper() in (b"ON", b"OFF"):
            return OK
        return b"-ERR unknown subcommand or wrong number of arguments for 'client'\r\n"

    def _commands(self, arguments: list[bytes]) -> bytes:
        word = arguments[0].upper() if arguments else b""
        if word == b"COUNT":
            return b":0\r\n"
        if word == b"DOCS":
            return b"%0\r\n" if self.version == 3 else b"*0\r\n"
        return b"*0\r\n"


HANDLERS: dict[bytes, Callable[[Session, list[bytes]], bytes]] = {
    b"PING": Session._ping,
    b"ECHO": Session._echo,
    b"SELECT": Session._select,
    b"AUTH": Session._auth,
    b"HELLO": Session._hello,
    b"RESET": Session._reset,
    b"CLIENT": Session._client,
    b"COMMAND": Session._commands,
}


def _wrong_argument_count(name: bytes) -> bytes:
    return b"-ERR wrong number of arguments for '%b' command\r\n" % name
