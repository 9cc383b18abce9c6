"""The sites in deploy/sites work with the same code, and nothing in it is fitted to one site."""

import tomllib
from pathlib import Path
from typing import Any

import pytest
from support import SECOND, Router

from rainhitch import interface as api
from rainhitch.node.polling import POLLED_TIMES, PUSHED_TIMES
from rainhitch.node.shutdown import shutdown_schedule
from rainhitch.settings import read_names, read_settings, read_socket_limits

ROOT = Path(__file__).parents[2]
SITES = sorted((ROOT / "deploy/sites").glob("*/site.toml"))
MS = 1_000_000
Json = dict[str, Any]


def router_info(site: Json) -> Json:
    """Returns the settings that a router of such a site receives in the first message on the wire."""
    [tier] = site["tier"]
    rules, allow, link = site["rules"], site["allow"], tier["conn"]
    return {
        "azs": site["net"]["zones"],
        "hostTypes": [kind["name"] for kind in tier["kind"]] + ["origin"],
        "balancers": site["scale"]["balancers"][1],
        "registryMode": {"push": "pushed", "ask": "on_request"}[site["discovery"]["mode"]],
        "ceilings": {
            "attemptsCap": allow["max_attempts"],
            "dialTimeout": link["connect_timeout_ms"] * MS,
            "keepalive": link["idle_s"] * SECOND,
            "maxRetryAfter": site["clients"]["max_retry_after_ms"] * MS,
            "mayTell": allow["peers"],
            "retryAfter": allow["retry_after"],
        },
        "classes": [
            {
                "name": request_class["name"],
                "aim": request_class["aim_ms"] * MS,
                "deadline": request_class["deadline_ms"] * MS,
                "effect": request_class["effect"],
                "gain": float(request_class["worth"]),
                "group": request_class.get("group", "all"),
                "lateWorth": request_class["late_worth"],
                "repeatWindow": request_class.get("window_ms", 0) * MS,
            }
            for request_class in site["class"]
        ],
        "tenants": [{"name": item["name"], "quotaRps": 100.0 * item["share"]} for item in site["tenant"]],
        "safety": {
            "coldFrom": min(kind["cold_from"][0] for kind in tier["kind"]),
            "rampTime": int(max(kind["cold_s"][1] for kind in tier["kind"]) * SECOND),
            "tipMultiple": float(rules["fall_multiple"]),
            "fall": rules["fall_ms"] * MS,
            "stopSendingWithin": rules["drain_grace_ms"] * MS,
        },
        "specifics": {"mode": site["fam"]["mode"], "originKind": len(tier["kind"])},
    }


@pytest.fixture(params=SITES, ids=lambda path: path.parent.name)
def site(request: pytest.FixtureRequest) -> Json:
    """A site of deploy/sites."""
    return tomllib.loads(request.param.read_text())


def test_the_sites_differ_in_deadlines_polling_and_idempotency() -> None:
    all_settings = [read_settings(router_info(tomllib.loads(path.read_text()))) for path in SITES]
    assert len(all_settings) >= 2
    longest = sorted(max(cls.deadline_ns for cls in settings.classes) for settings in all_settings)
    assert longest[0] < SECOND and longest[-1] > 10 * SECOND
    assert {settings.endpoints_polled for settings in all_settings} == {False, True}
    effects = {cls.idempotency for settings in all_settings for cls in settings.classes}
    assert effects == set(api.Idempotency)


def test_a_sites_settings_are_read_whole(site: Json) -> None:
    settings, names, socket_limits = (
        read_settings(router_info(site)),
        read_names(router_info(site)),
        read_socket_limits(router_info(site)),
    )
    assert list(names.classes) == [request_class["name"] for request_class in site["class"]]
    assert list(names.tenants) == [tenant["name"] for tenant in site["tenant"]]
    assert list(names.zones) == site["net"]["zones"]
    assert settings.slow_start_window_ns == site["rules"]["fall_ms"] * MS
    assert socket_limits.connect_timeout_ns == site["tier"][0]["conn"]["connect_timeout_ms"] * MS
    longest = max(request_class.deadline_ns for request_class in settings.classes) / SECOND
    assert shutdown_schedule(longest).exit_s < min(longest, 3) + 0.7
    assert (POLLED_TIMES if settings.endpoints_polled else PUSHED_TIMES).max_staleness_s() < 6


def test_each_class_of_a_site_is_served_and_rejected_or_failed_as_its_idempotency_allows(site: Json) -> None:
    options = read_settings(router_info(site))
    kinds = len(site["tier"][0]["kind"])
    members = [api.Endpoint(f"c{n}", kind=n % kinds, zone=n % 2) for n in range(4)]
    router = Router(options, [*members, api.Endpoint("origin", kind=kinds)])
    for cls, spec in enumerate(options.classes):
        write = spec.idempotency is not api.Idempotency.IDEMPOTENT
        _, (send,) = router.request(f"k{cls}", cls, write=write)
        assert isinstance(send, api.StartAttempt) and (send.server == "origin") is write
        assert router.end_attempt(send, api.AttemptStatus.OK) == []
        name, (send,) = router.request(f"j{cls}", cls, write=write)
        router.end_attempt(send, api.AttemptStatus.RESET)
        router.wait(spec.deadline_ns)
        again = router.balancer.requests.get(name)
        assert again is None or again.attempts_started <= options.max_attempts


def test_nothing_in_program_or_deploy_file_is_fitted_to_one_site() -> None:
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    files = [ROOT / "deploy/balancer.toml"]
    for name in [*listed["policy"], *listed["node"]]:
        path = ROOT / name
        files += sorted(path.rglob("*.py")) if path.is_dir() else [path]
    words = {"menu-read", "slot-read", "order-list", "order-place", "full-node", "small-node", "neihu"}
    words |= {"banqiao", "taoyuan", "nangang-chip", "xinzhu-textile", "taichung-tools", "yilan-foods"}
    for path in SITES:
        site = tomllib.loads(path.read_text())
        words |= {item["name"] for kind in ("class", "tenant") for item in site[kind] if "-" in item["name"]}
        words |= {site["name"], site["tier"][0]["name"]}
    assert len(files) > 40
    found = [f"{path}: {word}" for path in files for word in words if word in path.read_text()]
    assert found == []
