"""The arguments of `rainhitch rehearse`, for real and for virtual time."""

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from pathlib import Path

from rainhitch.cli.errors import InputError

MAX_CORE_SLOWDOWN_FACTOR = 1000.0
MAX_SPLIT_WRITE_FRACTION = 1.0


class RehearseMode(Enum):
    """What `rainhitch rehearse` is to do."""

    LIST_SCENARIOS = auto()
    PROVE_CHECKER = auto()
    REPORT = auto()
    COMPARE_TRACES = auto()
    RUN = auto()
    RUN_VIRTUAL = auto()


@dataclass(frozen=True, slots=True)
class VirtualOptions:
    """The options that only a run in virtual time has."""

    trace_file: Path | None
    logs_folder: Path | None
    core_slowdown_factor: float | None
    """How many times as slow the routers' cores are, in place of the scenario's figure."""

    split_write_fraction: float | None
    """Which fraction of the writes arrives in pieces, in place of the scenario's figure."""

    def any_given(self) -> bool:
        """Returns whether any of them was given."""
        given = (self.trace_file, self.logs_folder, self.core_slowdown_factor, self.split_write_fraction)
        return any(value is not None for value in given)


@dataclass(frozen=True, slots=True)
class RehearseArguments:
    """The arguments of `rainhitch rehearse`."""

    mode: RehearseMode
    targets: tuple[str, ...]
    """The scenario's name or file, the folder of records, or the two traces."""

    is_virtual: bool
    seed: int
    router_count: int | None
    router_command: str | None
    report_file: Path | None
    records_folder: Path | None
    repeat_count: int
    virtual: VirtualOptions


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    parser.description = (
        "Runs a scenario on this machine: real router processes, fakes of the systems around them, "
        "scheduled faults, and a checker. "
        "Exit codes: 0 all held, 1 a rule was broken or an expectation failed, 2 bad input, 3 void."
    )
    parser.add_argument("target", nargs="*", metavar="NAME|FILE.toml|report DIR|compare TRACE TRACE")
    parser.add_argument("--list", action="store_true", help="the shipped scenarios")
    parser.add_argument("--prove", action="store_true", help="show that the checker sees each broken rule")
    parser.add_argument("--seed", type=int, default=1, help="seed of the scenario's random numbers (1)")
    parser.add_argument("--routers", type=int, help="how many routers, in place of the scenario's")
    parser.add_argument(
        "--router", metavar="COMMAND", help="what starts a router; `plain` is the kit's simple router"
    )
    parser.add_argument("--json", metavar="FILE", type=Path, help="write the whole report there")
    parser.add_argument("--records", metavar="DIR", type=Path, help="keep the run's records there")
    parser.add_argument(
        "--repeat", metavar="K", type=int, default=1, help="run it K times, and show the spread"
    )
    group = parser.add_argument_group("virtual time")
    group.add_argument(
        "--virtual", action="store_true", help="in one process, on simulated time: the same run each time"
    )
    group.add_argument("--trace", metavar="FILE", type=Path, help="write every event there")
    group.add_argument("--logs", metavar="DIR", type=Path, help="keep each router's log there")
    group.add_argument(
        "--core",
        metavar="X",
        type=float,
        help="routers' cores are X times as slow, in place of the scenario's",
    )
    group.add_argument(
        "--chop",
        metavar="P",
        type=float,
        help="fraction of the writes that arrives in pieces, in place of the scenario's",
    )


def parse_arguments(namespace: argparse.Namespace) -> RehearseArguments:
    """Reads the arguments.

    Raises:
        InputError: They do not name one thing to do, do not go together, or have values that are not allowed.
    """
    virtual = VirtualOptions(namespace.trace, namespace.logs, namespace.core, namespace.chop)
    is_virtual_run = namespace.virtual or virtual.any_given()
    mode, targets = _mode_and_targets(namespace, is_virtual_run)
    if mode in (RehearseMode.RUN, RehearseMode.RUN_VIRTUAL):
        if len(targets) != 1:
            raise InputError(
                "one scenario is wanted: NAME, FILE.toml, or `report DIR`; --list names the shipped ones"
            )
        if namespace.repeat < 1:
            raise InputError(f"--repeat {namespace.repeat}: allowed is 1 or more")
    arguments = RehearseArguments(
        mode=mode,
        targets=tuple(targets),
        is_virtual=namespace.virtual,
        seed=namespace.seed,
        router_count=namespace.routers,
        router_command=namespace.router,
        report_file=namespace.json,
        records_folder=namespace.records,
        repeat_count=namespace.repeat,
        virtual=virtual,
    )
    if mode is RehearseMode.RUN_VIRTUAL:
        _check_virtual_run(arguments)
    return arguments


def _check_virtual_run(arguments: RehearseArguments) -> None:
    """Raises InputError for options that do not go together, or values that are not allowed."""
    if not arguments.is_virtual:
        raise InputError("--trace, --logs, --core and --chop go with --virtual")
    if arguments.router_command is not None:
        raise InputError("--router: a virtual day plays this installation's router only")
    virtual = arguments.virtual
    bounds = (
        ("--core", virtual.core_slowdown_factor, MAX_CORE_SLOWDOWN_FACTOR),
        ("--chop", virtual.split_write_fraction, MAX_SPLIT_WRITE_FRACTION),
    )
    for option, value, max_value in bounds:
        if value is not None and not 0.0 <= value <= max_value:
            raise InputError(f"{option} {value:g}: allowed is a number from 0 to {max_value:g}")
    for path in (arguments.report_file, arguments.records_folder, virtual.trace_file, virtual.logs_folder):
        if path is not None and not path.absolute().parent.is_dir():
            raise InputError(f"{path}: its folder does not exist")


def _mode_and_targets(
    namespace: argparse.Namespace, is_virtual_run: bool
) -> tuple[RehearseMode, Sequence[str]]:
    words: list[str] = namespace.target
    if namespace.list:
        return RehearseMode.LIST_SCENARIOS, ()
    if namespace.prove:
        return RehearseMode.PROVE_CHECKER, ()
    if words[:1] == ["report"] and len(words) == 2:
        return RehearseMode.REPORT, words[1:]
    if words[:1] == ["compare"] and len(words) == 3:
        return RehearseMode.COMPARE_TRACES, words[1:]
    return RehearseMode.RUN_VIRTUAL if is_virtual_run else RehearseMode.RUN, words
