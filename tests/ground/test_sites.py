"""Other customers' settings work as well: the sites in deploy/sites, and nothing that is fitted to one."""

import tomllib
from pathlib import Path
from typing import Any

import pytest
from support import SECOND, Router

from rainhitch import interface as api
from rainhitch.node.polling import POLLED_TIMES, PUSHED_TIMES
from rainhitch.node.shutdown import shutdown_schedule
from rainhitch.settings import read_ceilings, read_names, read_settings

ROOT = Path(__file__).parents[2]
SITES = sorted((ROOT / "deploy/sites").glob("*/site.toml"))
MS = 1_000_000
Json = dict[str, Any]


def router_info(site: Json) -> Json:
    """The settings that a router of such a site is told, by the words of the wire's first message."""
    [tier] = site["tier"]
    rules, allow, link = site["rules"], site["allow"], tier["conn"]
    return {
        "azs": site["net"]["zones"],
        "hostTypes": [one["name"] for one in tier["kind"]] + ["origin"],
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
                "name": one["name"],
                "aim": one["aim_ms"] * MS,
                "deadline": one["deadline_ms"] * MS,
                "effect": one["effect"],
                "gain": float(one["worth"]),
                "group": one.get("group", "all"),
                "lateWorth": one["late_worth"],
                "repeatWindow": one.get("window_ms", 0) * MS,
            }
            for one in site["class"]
        ],
        "tenants": [{"name": one["name"], "quotaRps": 100.0 * one["share"]} for one in site["tenant"]],
        "safety": {
            "coldFrom": min(one["cold_from"][0] for one in tier["kind"]),
            "rampTime": int(max(one["cold_s"][1] for one in tier["kind"]) * SECOND),
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


def test_the_sites_are_far_apart() -> None:
    read = [read_settings(router_info(tomllib.loads(path.read_text()))) for path in SITES]
    assert len(read) >= 2
    longest = sorted(max(one.deadline_ns for one in settings.classes) for settings in read)
    assert longest[0] < SECOND and longest[-1] > 10 * SECOND
    assert {settings.endpoints_polled for settings in read} == {False, True}
    effects = {one.idempotency for settings in read for one in settings.classes}
    assert effects == set(api.Idempotency)


def test_a_sites_settings_are_read_whole(site: Json) -> None:
    settings, names, ceilings = (
        read_settings(router_info(site)),
        read_names(router_info(site)),
        read_ceilings(router_info(site)),
    )
    assert list(names.classes) == [one["name"] for one in site["class"]]
    assert list(names.tenants) == [one["name"] for one in site["tenant"]]
    assert list(names.zones) == site["net"]["zones"]
    assert settings.slow_start_window_ns == site["rules"]["fall_ms"] * MS
    assert ceilings.connect_timeout_ns == site["tier"][0]["conn"]["connect_timeout_ms"] * MS
    longest = max(one.deadline_ns for one in settings.classes) / SECOND
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
        read = tomllib.loads(path.read_text())
        words |= {one["name"] for kind in ("class", "tenant") for one in read[kind] if "-" in one["name"]}
        words |= {read["name"], read["tier"][0]["name"]}
    assert len(files) > 40
    found = [f"{path}: {word}" for path in files for word in words if word in path.read_text()]
    assert found == []
