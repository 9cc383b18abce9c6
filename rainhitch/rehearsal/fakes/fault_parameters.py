"""The parameters of the plan's fault actions, as the fakes use them."""

from typing import cast

from rainhitch.rehearsal.plan_model import MICROSECONDS_PER_SECOND, FaultAction


def fraction(action: FaultAction) -> float:
    """Of what the action acts on."""
    return float(action.parameters["share"])


def delay_s(action: FaultAction) -> float:
    """The delay that the action makes, in seconds."""
    return float(action.parameters["delay"]) / MICROSECONDS_PER_SECOND


def factor(action: FaultAction) -> float:
    """How many times as long as usual something takes."""
    return float(action.parameters["factor"])


def is_one_way(action: FaultAction) -> bool:
    """Whether a partition loses only what the named routers send."""
    return bool(action.parameters.get("oneway", False))


def link(action: FaultAction) -> tuple[int, str]:
    """The link that the action acts on: a router, and a node's uid."""
    router, uid = cast(list[int | str], action.name)
    return int(router), str(uid)


def routers(action: FaultAction) -> set[int]:
    """The routers that the action acts on."""
    return set(cast(list[int], action.name))
