"""Errors of the membership package."""

from rainhitch.errors import RainhitchError


class MembershipError(RainhitchError, ValueError):
    """The endpoint list in etcd cannot be reached or changed; the text gives the reason in one line."""


class EntryError(MembershipError):
    """An unreadable entry of the endpoint list."""


class ChangeRejectedError(MembershipError):
    """A change by an operator that was not made; the text gives the reason."""
