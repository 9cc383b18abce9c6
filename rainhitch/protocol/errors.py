"""The errors of this package: bytes from a peer that are no message of the protocol."""

from rainhitch.errors import RainhitchError


class ProtocolError(RainhitchError, ValueError):
    """What came from a peer is no message of its protocol; its connection is of no further use."""


class FramingError(ProtocolError):
    """What came is no RESP, or not what may come here.

    Where it came from a client, the text goes to that client: the texts of `resp2_reader.py` must not change.
    """


class HttpError(ProtocolError):
    """What came is no answer of HTTP/1.1, or larger than wanted."""
