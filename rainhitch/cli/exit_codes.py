"""The exit codes of every subcommand."""

SUCCESS = 0
"""Done; what was checked holds."""

FAILURE = 1
"""The command ran, and what it checks or was asked for does not hold.

rehearse: a rule was broken, an expectation failed, or two runs differ. explore: something was found. members:
the change was rejected, nothing changed. fleet: some routers did not answer. logs: nothing was found.
"""

BAD_INPUT = 2
"""Options, files or settings that make no sense; one line on standard error says why."""

UNAVAILABLE = 3
"""members, plan: etcd did not answer."""

VOID = 3
"""rehearse: the machine was too late for the run to count."""

INTERRUPTED = 130
"""Ended by Ctrl-C or SIGTERM."""
