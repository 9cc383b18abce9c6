"""Ports that a run holds for its routers."""

import socket

import pytest

from rainhitch.rehearsal.ports import hold_port


def test_a_held_port_is_given_to_nobody_and_can_be_listened_on_again_and_again() -> None:
    """A router that starts seconds later found its port taken by a connection of another run."""
    held = [hold_port() for _ in range(200)]
    assert len({one.getsockname() for one in held}) == len(held)
    address = held[0].getsockname()
    for _ in range(2):
        with socket.create_server(address), socket.create_connection(address):
            pass
    with socket.socket() as plain, pytest.raises(OSError, match="in use"):
        plain.bind(address)
    for one in held:
        one.close()
