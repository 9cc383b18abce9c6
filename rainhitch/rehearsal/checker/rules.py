"""The four rules, each found from the ledgers with the request, the time, the node and the evidence.

Each time limit is 50 ms longer than the rule's, and longer yet by the rig's own stalls near the instant.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from rainhitch.rehearsal.checker.evidence import MILLI, NEVER, SECOND, Evidence, ObservedAttempt

Json = dict[str, Any]
RULES = ("lost", "repeated", "drained", "overrun")
SLACK = 50 * MILLI
ANSWER_SLACK = 20 * MILLI
MOST_ATTEMPTS = 5
DRAIN = SECOND
INFORMED = 2 / 3  # part of a fallen node's load from routers that knew of its start
COLD_SHARE = 0.3  # part of a stopped database's load from misses at cold nodes
COLD_DUE = 1.25  # times the reads that were due to them


def find_violations(evidence: Evidence) -> list[Json]:
    """All that was broken, in the order of time."""
    found = [*lost(evidence), *repeated(evidence), *drained(evidence), *overrun(evidence)]
    for router in evidence.ledgers["routers"]:
        if router["crash"]:
            crash = router["crash"]
            found.append(
                _breach(evidence, "crashed", crash["at"], f"router {router['number']} {crash['why']}")
            )
            found[-1]["log"] = crash["log"]
    return sorted(found, key=lambda one: (one["at_s"], one["rule"], one["request"], one["what"]))


def _breach(evidence: Evidence, rule: str, at: int, what: str, request: str = "", node: str = "") -> Json:
    return {
        "rule": rule,
        "at_s": round((at - evidence.zero) / SECOND, 4),
        "request": request,
        "node": node,
        "what": what,
    }


def lost(evidence: Evidence) -> Iterator[Json]:
    """Rule 1: exactly one final answer for each request taken, in time, and nothing after it."""
    asked = {one["tries"][n]["id"]: one for one in evidence.plan["asks"] for n in range(len(one["tries"]))}
    for one in evidence.tries:
        if not one["sent"] or one["left"] or one["id"] not in asked:
            continue
        until = one["sent"] + one["wait"] + ANSWER_SLACK + SLACK
        until += evidence.slack(until)
        why = ""
        if one["answered"] > until:
            why = f"answered {(one['answered'] - one['sent']) / MILLI:.0f} ms after it was sent, "
            why += f"the client left at {one['wait'] / MILLI:.0f} ms"
        elif one["answered"]:
            if one["kind"] == "served":
                why = _not_made_for_it(evidence, one)
        elif not evidence.died(one["router"], one["sent"] - SLACK, until):
            why = "no answer" if one["kind"] == "" else "the connection ended with no whole answer"
        if why:
            yield _breach(
                evidence, "lost", one["answered"] or until, f"router {one['router']}: {why}", one["id"]
            )
        yield from _taken_and_ended(evidence, one)
    for extra in evidence.extras:
        if extra["id"]:
            what = f"router {extra['router']}: a further answer after the final one: {extra['kind']}"
            yield _breach(evidence, "lost", extra["at"], what, extra["id"])


def _taken_and_ended(evidence: Evidence, one: Json) -> Iterator[Json]:
    """Sendings that ended with no answer, though their router had begun them. Each is its own router's."""
    for sending in one["earlier"]:
        router, ended = sending["router"], sending["ended"]
        begun = [s for s in evidence.sends.get(one["id"], []) if s.router == router and s.first < ended]
        if begun and not evidence.died(router, begun[0].first - SLACK, ended + SLACK):
            what = f"router {router}: the connection ended after the request had been taken"
            yield _breach(evidence, "lost", ended, what, one["id"])


def _by_router(sends: list[ObservedAttempt]) -> Iterator[list[ObservedAttempt]]:
    """The sends of one request, router by router: a client whose connection breaks sends again, perhaps
    to another router, and neither can know what the other does."""
    for router in dict.fromkeys(one.router for one in sends):
        yield [one for one in sends if one.router == router]


def _not_made_for_it(evidence: Evidence, one: Json) -> str:
    sends = evidence.sends.get(one["id"], [])
    made = [send for send in sends if send.outcome == "served" and send.router == one["router"]]
    if not one["own"]:
        return f"served with what was made for another request: {one['detail'][:40]}"
    return "" if made else "served with what no node and no database made for it"


def repeated(evidence: Evidence) -> Iterator[Json]:
    """Rule 2: never two attempts at once, no more than allowed, and only as the class allows."""
    spec_of = {}
    for ask in evidence.plan["asks"]:
        for one in ask["tries"]:
            spec_of[one["id"]] = evidence.scenario["classes"][ask["cls"]]
    for id, sends in evidence.sends.items():
        spec = spec_of.get(id)
        if spec is None:
            yield _breach(
                evidence, "repeated", sends[0].first, "a request that no client sent", id, sends[0].to
            )
            continue
        for mine in _by_router(sends):
            if len(mine) > MOST_ATTEMPTS:
                what = f"router {mine[0].router}: {len(mine)} attempts, {MOST_ATTEMPTS} are allowed"
                yield _breach(evidence, "repeated", mine[MOST_ATTEMPTS].last, what, id, mine[-1].to)
            yield from _overlaps(evidence, id, mine)
            yield from _resent(evidence, id, mine, spec)
    yield from _refused(evidence, spec_of)
    yield from _orders(evidence)


def _overlaps(evidence: Evidence, id: str, sends: list[ObservedAttempt]) -> Iterator[Json]:
    for number, later in enumerate(sends[1:], 1):
        for earlier in sends[:number]:
            over = earlier.out_until - later.last
            if over > SLACK + evidence.slack(later.last):
                until = f"for {over / MILLI:.0f} ms more" if earlier.out_until < NEVER else "to the end"
                what = f"router {later.router}: two attempts at once: the one at {earlier.to} was out {until}"
                yield _breach(evidence, "repeated", later.last, what, id, later.to)
                return


def _resent(evidence: Evidence, id: str, sends: list[ObservedAttempt], spec: Json) -> Iterator[Json]:
    if spec["repeats"] == "safe":
        return
    for number, later in enumerate(sends):
        ran = [one for one in sends[:number] if one.may_have_run]
        if not ran:
            continue
        age = later.last - min(one.last for one in ran)
        window = spec["window_s"] * SECOND + SLACK
        if spec["repeats"] == "unsafe" or age > window:
            what = f"router {later.router}: sent again {age / MILLI:.0f} ms after the attempt at {ran[0].to} "
            what += f"({ran[0].outcome}), which may have run; its class is {spec['repeats']}"
            yield _breach(evidence, "repeated", later.last, what, id, later.to)
            return


def _refused(evidence: Evidence, spec_of: dict[str, Json]) -> Iterator[Json]:
    for one in evidence.tries:
        spec = spec_of.get(one["id"])
        if one["kind"] != "refused" or spec is None or spec["repeats"] == "safe":
            continue
        ran = [
            send
            for send in evidence.sends.get(one["id"], [])
            if send.may_have_run and send.first < one["answered"] and send.router == one["router"]
        ]
        if not ran:
            continue
        age = one["answered"] - min(send.last for send in ran)
        if spec["repeats"] == "unsafe" or age > spec["window_s"] * SECOND + SLACK:
            what = f"router {one['router']}: refused, which says that repeating is harmless, after "
            what += f"the attempt at {ran[0].to} ({ran[0].outcome}) may have run"
            yield _breach(evidence, "repeated", one["answered"], what, one["id"], ran[0].to)


def _orders(evidence: Evidence) -> Iterator[Json]:
    """Orders that the database carried out twice, by one router's sends of one request."""
    done: dict[tuple[str, str, int], list[ObservedAttempt]] = defaultdict(list)
    for id, sends in evidence.sends.items():
        for one in sends:
            if one.order and one.executed:
                done[one.order, id, one.router].append(one)
    for (order, id, router), sends in done.items():
        if len(sends) > 1:
            what = f"router {router}: order {order} was carried out {len(sends)} times"
            yield _breach(evidence, "repeated", sends[1].last, what, id, "database")


def drained(evidence: Evidence) -> Iterator[Json]:
    """Rule 3: nothing new later than 1 s after the router was told that the node drains or is gone."""
    for id, sends in evidence.sends.items():
        for one in sends:
            if one.to == "database":
                continue
            since, state = evidence.last_told(one.router, one.to, one.first)
            late = one.first - since - DRAIN - SLACK
            if state in ("Terminating", "Gone") and late > evidence.slack(one.first):
                after = (one.first - since) / SECOND
                what = f"router {one.router}: sent {after:.3f} s after it was told that the node is {state}"
                yield _breach(evidence, "drained", one.first, what, id, one.to)


def overrun(evidence: Evidence) -> Iterator[Json]:
    """Rule 4: no cold node pushed over, nor the database stopped by misses at cold nodes."""
    at_node: dict[str, list[ObservedAttempt]] = defaultdict(list)
    for sends in evidence.sends.values():
        for one in sends:
            at_node[one.to].append(one)
    window = int(evidence.scenario["fleet"]["tip_s"] * SECOND)
    for uid, node in sorted(evidence.nodes.items()):
        for fall in node["falls"]:
            start = max((one for one in node["starts"] if one <= fall), default=evidence.zero)
            near = [one for one in at_node[uid] if fall - window <= one.last <= fall]
            whole = sum(one.work for one in near)
            knew = sum(one.work for one in near if evidence.knows_start(one.router, uid, start, one.first))
            if whole and knew >= INFORMED * whole:
                what = (
                    f"pushed over {(fall - start) / SECOND:.2f} s after its start: sent {whole / 1e6:.2f} s "
                )
                what += (
                    f"in {window / SECOND:g} s, {knew / whole:.0%} of it by routers that knew of its start"
                )
                yield _breach(evidence, "overrun", fall, what, "", uid)
    for at, pressed in evidence.centre["stops"]:
        if pressed:
            yield from _pressed(evidence, at)


def _pressed(evidence: Evidence, at: int) -> Iterator[Json]:
    """Whether misses at cold nodes made much of the load that stopped the database."""
    begin = at - int(evidence.scenario["database"]["stop_after_s"] * SECOND)
    sent = cold = 0
    nodes: set[str] = set()
    reads = [0, 0]  # all that nodes were asked, and what was due to cold nodes
    for sends in evidence.sends.values():
        for one in sends:
            if begin <= one.last <= at and one.to == "database":
                sent += 1
                missed = [m for m in sends if m.outcome == "miss" and m.cold and m.last <= one.last]
                if missed and not one.write:
                    cold += 1
                    nodes.add(missed[-1].to)
            elif begin <= one.last <= at and not one.write:
                reads[0] += 1
    due = reads[0] * _cold_part(evidence, nodes, at)
    if sent and cold > COLD_SHARE * sent and cold > COLD_DUE * due:
        what = f"the database stopped: {cold} of the {sent} it was sent were misses at cold nodes, "
        what += f"{due:.0f} were due"
        yield _breach(evidence, "overrun", at, what, "", "database")


def _cold_part(evidence: Evidence, nodes: set[str], at: int) -> float:
    """The part of all reads that is due to these nodes when their weights are cut by the warm-up."""
    fleet = evidence.scenario["fleet"]
    whole = part = 0.0
    for one in evidence.plan["nodes"]:
        weight = one["cores"] * one["speed"]
        starts = [when for when in evidence.nodes[one["uid"]]["starts"] if when <= at]
        if "joins" in one and not starts:
            continue
        if starts:
            warmed = min(1.0, (at - max(starts)) / SECOND / fleet["warm_s"])
            weight *= fleet["cold_from"] + (1 - fleet["cold_from"]) * warmed
        whole += weight
        part += weight if one["uid"] in nodes else 0.0
    return part / whole if whole else 0.0
