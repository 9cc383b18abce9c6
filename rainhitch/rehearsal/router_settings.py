"""The settings that a router of a scenario's fleet gets, in the platform's form; durations are in ns."""

from typing import Any

from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]
MILLI = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
MAX_ATTEMPTS = 5
CONNECT_TIMEOUT_NS = 250 * MILLI
MAX_HELD_REQUESTS = 20_000
MAX_STREAMS_PER_CONNECTION = 100
ANSWER_SLACK_NS = 20 * MILLI
STOP_SENDING_WITHIN_NS = 1000 * MILLI
TICK_NS = 5 * MILLI
ORIGIN_OVERLOAD_FACTOR = 2.5  # of its capacity, from which on the database stops


def router_settings(scenario: Scenario, number: int) -> Json:
    """The settings of the router with this number."""
    fleet = scenario.fleet
    node_classes = [node_class.name for node_class in fleet.nodes]
    return {
        "azs": fleet.rooms,
        "balancers": fleet.routers,
        "ceilings": _ceilings(scenario),
        "classes": _classes(scenario),
        "clients": {"marksRetry": True},
        "domainType": "cache",
        "hostTypes": [*node_classes, "database"],
        "me": number,
        "myZone": fleet.rooms.index(scenario.router_room(number)),
        "overShareWorth": scenario.traffic.over_share_worth,
        "registryMode": "pushed",
        "report": {"names": [], "via": "off"},
        "safety": _safety(scenario),
        "specifics": {
            "mode": "aside",
            "originKind": len(node_classes),
            "originFallMultiple": ORIGIN_OVERLOAD_FACTOR,
        },
        "tenants": _tenants(scenario),
        "tick": TICK_NS,
        "weights": "nominal",
    }


def _ceilings(scenario: Scenario) -> Json:
    """What a router may do at most."""
    return {
        "attemptsCap": MAX_ATTEMPTS,
        "cancel": True,
        "dialTimeout": CONNECT_TIMEOUT_NS,
        "keepalive": int(scenario.fleet.keepalive_s * SECOND),
        "maxRetryAfter": int(scenario.clients.most_wait_ms * MILLI),
        "mayDuplicate": False,
        "mayTell": True,
        "mostHeld": MAX_HELD_REQUESTS,
        "probing": True,
        "retryAfter": scenario.clients.told,
        "streamsPerConn": MAX_STREAMS_PER_CONNECTION,
    }


def _classes(scenario: Scenario) -> list[Json]:
    """The classes of requests."""
    return [
        {
            "name": work_class.name,
            "aim": int(work_class.aim_ms * MILLI),
            "deadline": int(work_class.deadline_ms * MILLI),
            "gain": work_class.worth,
            "lateWorth": work_class.late_worth,
            "effect": work_class.repeats,
            "group": "all",
            "repeatWindow": int(work_class.window_s * SECOND),
            "stream": False,
        }
        for work_class in scenario.classes
    ]


def _safety(scenario: Scenario) -> Json:
    """What keeps nodes from harm."""
    fleet = scenario.fleet
    return {
        "answerSlack": ANSWER_SLACK_NS,
        "coldFrom": fleet.cold_from,
        "fall": int(fleet.tip_s * SECOND),
        "rampTime": int(fleet.warm_s * SECOND),
        "stopSendingWithin": STOP_SENDING_WITHIN_NS,
        "tipMultiple": fleet.tip_multiple,
    }


def _tenants(scenario: Scenario) -> list[Json]:
    """The customers with their parts of the fleet and their quotas."""
    whole_share = scenario.whole_customer_share()
    quota_per_share = scenario.traffic.quota_rps / whole_share
    return [
        {
            "name": customer.name,
            "fraction": customer.share / whole_share,
            "quotaRps": customer.share * quota_per_share,
        }
        for customer in scenario.customers
    ]
