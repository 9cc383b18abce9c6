"""The base of the records that the fakes keep of the requests that they received."""

import dataclasses
from typing import Any


class ReceivedRequest:
    """Base of the records of requests: dataclasses with slots, whose fields are the record's columns.

    The field `received_on`, the connection, is no column. The field `closed` is when the router closed that
    connection, as far as it had when the request ended.
    """

    __slots__ = ()

    def to_row(self) -> dict[str, Any]:
        """The record as JSON takes it; a connection that has closed since gives `closed`."""
        names = [one.name for one in dataclasses.fields(self)]  # type: ignore[arg-type]
        row = {name: getattr(self, name) for name in names if name != "received_on"}
        connection = getattr(self, "received_on", None)
        if not row["closed"] and connection is not None:
            row["closed"] = connection.closed_at_ns
        return row
