"""Validation of client request commands."""

from typing import Any

import pytest
from peers import info

from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.settings import read_names

INFO = b"c=read,t=acme,d=9000"


@pytest.mark.parametrize(
    "parts",
    [
        (b"C.SET", b"k", b"i", INFO, b"v"),
        (b"C.GET", b"k", b"i", b"c=put,t=acme,d=9000,k=1"),
        (b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000", b"v"),
        (b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000,k=", b"v"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme,d=0"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme,d=-5"),
        (b"C.GET", b"k", b"i", b"c=read,d=9000"),
        (b"C.GET", b"k", b"i", INFO + b",h=much"),
        (b"C.GET", b"k", b"i", INFO + b",size=-1"),
        (b"C.GET", b"k", b"i", INFO + b",r=maybe"),
        (b"C.GET", b"k", b"i", INFO + b",d=9000"),
        (b"C.GET", b"k", b"", INFO),
        (b"C.GET", b"k" * 257, b"i", INFO),
    ],
)
def test_commands_that_the_protocol_does_not_allow_are_rejected(parts: Any) -> None:
    names = read_names(info())
    with pytest.raises(ClientRequestError):
        parse_client_request(list(parts), names)
    parse_client_request([b"C.GET", b"k", b"i", INFO + b",h=120,size=1800,r=1"], names)
    parse_client_request([b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000,k=5c0f", b"v"], names)
