"""The errors of this package."""

from rainhitch.errors import RainhitchError


class MembershipError(RainhitchError, ValueError):
    """The endpoint list in etcd can't be reached or changed as asked; the text says why in one line."""


class EntryError(MembershipError):
    """An entry of the list can't be read."""


class ChangeRejectedError(MembershipError):
    """An operator's change was not made; the text says why."""
