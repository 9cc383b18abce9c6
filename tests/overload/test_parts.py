"""Budget, appointments, limit, detector and pace, each against what it guards."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND

from rainhitch import interface as api
from rainhitch.overload.accept_pacer import AcceptPacer
from rainhitch.overload.concurrency_limit import AdaptiveConcurrencyLimit, Lane
from rainhitch.overload.retry_after import LEAST, RetryAfterScheduler, Return, question
from rainhitch.overload.retry_budget import KEPT, RetryBudget
from rainhitch.overload.storm_detector import PERIOD, RetryStormDetector

START = 1000 * SECOND


def asked(number: int = 0, key: str = "k") -> api.Request:
    return api.Request(f"r{number}", 0, START + SECOND, key)


# Retry budget


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, SECOND // 2)), max_size=300),
    st.sampled_from([0.0, 0.1, 0.5]),
    st.sampled_from([0.0, 2.0, 20.0]),
)
def test_in_any_window_retries_are_a_share_of_first_tries(
    events: list[tuple[bool, int]], share: float, least: float
) -> None:
    """A fleet in trouble had its load multiplied by its routers' own retries."""
    budget, now, firsts, retries = RetryBudget(share, least), START, [], []
    for retry, step in events:
        now += step
        if not retry:
            budget.first(now)
            firsts.append(now)
        elif budget.spend(now):
            retries.append(now)
    for n, begin in enumerate(retries):
        for m, end in enumerate(retries[n:], 1):
            before = sum(begin - KEPT - SECOND <= one <= end for one in firsts)
            allowed = share * before + least * ((end - begin) + KEPT) / SECOND
            assert m <= allowed + 1e-6


def test_retries_that_first_tries_have_paid_for_are_allowed() -> None:
    budget, now = RetryBudget(0.2, 0.0), START
    for n in range(100):
        now += 10 * MILLI
        budget.first(now)
        assert budget.spend(now) is (n % 5 == 4)
    assert budget.refused == 80


def test_what_first_tries_paid_for_long_ago_is_gone() -> None:
    budget = RetryBudget(0.5, 0.0)
    for n in range(100):
        budget.first(START + n)
    assert budget.spend(START + SECOND)
    assert not budget.spend(START + KEPT + 2 * SECOND)


# Appointments


@given(st.integers(1, 400), st.sampled_from([5.0, 50.0, 500.0]), st.integers(0, 99))
def test_times_are_within_bounds_spread_and_grow_with_the_storm(many: int, pace: float, seed: int) -> None:
    """Clients refused together and told the same came back together."""
    book = RetryAfterScheduler(2 * SECOND, seed)
    waits = [book.give(START, pace, question(asked(n, f"k{n}"))) for n in range(many)]
    assert all(LEAST <= wait <= 2 * SECOND for wait in waits)
    slot = SECOND / 4
    fits = [wait for wait in waits if wait < SECOND]
    for at in range(4):
        inside = sum(at * slot <= wait < (at + 1) * slot for wait in fits)
        assert inside <= pace / 4 + 2
    if many > 2 * pace + 2:
        assert max(waits) >= SECOND  # the later half, once no place is free


def test_two_routers_that_refuse_in_step_tell_different_times() -> None:
    one, two = RetryAfterScheduler(2 * SECOND, 1), RetryAfterScheduler(2 * SECOND, 2)
    told = [[book.give(START, 20.0) for _ in range(30)] for book in (one, two)]
    assert sum(abs(a - b) > MILLI for a, b in zip(*told, strict=True)) > 25


def test_who_keeps_its_time_is_known_and_who_comes_before_is_too() -> None:
    book, what = RetryAfterScheduler(2 * SECOND, 1), question(asked())
    assert book.arrived(START, what, True) is Return.NEW
    wait = book.give(START, 2.0, what)
    assert book.arrived(START + wait // 2, what, False) is Return.NEW  # another client's first try
    assert book.arrived(START + wait, what, False) is Return.KEPT  # marked or not
    book.give(START, 0.6, what)
    assert book.arrived(START + 1, what, True) is Return.EARLY
    assert book.arrived(START + 2 * SECOND, what, True) is Return.NEW  # each counts once


def test_no_time_is_told_where_the_settings_allow_none() -> None:
    book, what = RetryAfterScheduler(0, 1), question(asked())
    assert book.give(START, 2.0, what) == 0
    assert book.arrived(START + 1, what, False) is Return.NEW


def test_appointments_are_bounded_and_forgotten() -> None:
    book = RetryAfterScheduler(2 * SECOND, 1, most=50)
    for n in range(500):
        for _ in range(9):
            book.give(START, 1000.0, question(asked(key=f"k{n}")))
    assert len(book.given) == 50 and all(len(times) <= 4 for times in book.given.values())
    assert book.arrived(START + 10 * SECOND, question(asked(key="k499")), True) is Return.NEW


# Limit


def pressed(limit: AdaptiveConcurrencyLimit, now: int, bad: float, ends: int = 20) -> None:
    """A period with the limit in use and this part of its ends bad."""
    limit.peak, limit.turned = int(limit.limit), 1
    for n in range(ends):
        limit.note(n >= bad * ends, now)
    limit.step(now + limit.period, True)


def test_the_limit_falls_while_answers_are_late_and_recovers() -> None:
    limit, now = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2), START
    limit.peaks.append(100)
    limit.step(now, False)
    assert limit.limit == 400
    for _ in range(30):
        now += limit.period
        pressed(limit, now, 0.6)
    assert limit.limit == 8  # its own floor
    for _ in range(60):
        now += limit.period
        pressed(limit, now, 0.0)
    assert limit.limit > 400


def test_one_jam_is_cut_for_once() -> None:
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
    limit.limit = 100.0
    pressed(limit, START, 1.0)
    cut = limit.limit
    assert cut == 50
    for _ in range(50):
        limit.note(False, START)  # admitted before the cut
    limit.step(START + 2 * limit.period, True)
    assert limit.limit == cut


def test_an_unused_limit_does_not_rise() -> None:
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
    limit.limit = 100.0
    limit.peak = 10
    for _ in range(20):
        limit.note(True, START)
    limit.step(START + limit.period, True)
    assert limit.limit == 100


def filled(
    limit: AdaptiveConcurrencyLimit, offers: list[tuple[Lane, bool]], rounds: int
) -> dict[tuple[Lane, bool], int]:
    """What is admitted while all are offered in turn and nothing ends."""
    taken = dict.fromkeys(offers, 0)
    for _ in range(rounds):
        for lane, retry in offers:
            if limit.admits(START, lane, retry):
                limit.began(retry)
                taken[lane, retry] += 1
    return taken


def test_lanes_stop_in_their_order() -> None:
    for lane, most in ((Lane.SHED, 50), (Lane.READ, 85), (Lane.KEPT, 95), (Lane.ORDER, 100)):
        limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
        limit.limit = 100.0
        assert filled(limit, [(lane, False)], 200) == {(lane, False): most}


@given(st.sampled_from([0.1, 0.2, 0.4]), st.integers(10, 400), st.booleans())
def test_neither_first_tries_nor_retries_starve_the_other(floor: float, size: int, flood: bool) -> None:
    """Retries that came first, and many, took every place; or the other way round."""
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, floor)
    limit.limit = float(size)
    limit.admits(START, Lane.READ, not flood)  # the other kind is wanted
    filled(limit, [(Lane.ORDER, flood)], 3 * size)
    assert limit.work[flood] <= size * (1 - floor)
    taken = filled(limit, [(Lane.READ, not flood)], 3 * size)[Lane.READ, not flood]
    assert taken >= int(size * floor)


# Detector


def period(detector: RetryStormDetector, now: int, **counts: int) -> str:
    for name, value in counts.items():
        setattr(detector.now_counts, name, value)
    detector.open = counts.get("connects", 0) + 200
    return detector.step(now)


def usual(detector: RetryStormDetector, seconds: int = 30) -> int:
    now = START
    detector.step(now)
    for _ in range(4 * seconds):
        now += PERIOD
        assert period(detector, now, arrivals=40, connects=2, retries=4, hurried=1) == ""
    return now


def test_an_ordinary_peak_is_no_storm_and_one_made_of_reconnects_is() -> None:
    detector = RetryStormDetector()
    now = usual(detector)
    for _ in range(40):  # 2.5 times the load, much of it refused and tried once more
        now += PERIOD
        assert period(detector, now, arrivals=100, connects=6, retries=30, hurried=10, late=5 * MILLI) == ""
    line = period(detector, now + PERIOD, arrivals=200, connects=190, retries=60, hurried=20)
    assert line.startswith("storm seen: connects") and "190 connects, 200 requests" in line


def test_retries_that_feed_on_themselves_are_a_storm() -> None:
    detector = RetryStormDetector()
    now = usual(detector)
    assert period(detector, now + PERIOD, arrivals=130, connects=5, retries=90, hurried=30).startswith(
        "storm"
    )


def test_the_end_is_seen_only_when_it_lasts() -> None:
    detector = RetryStormDetector()
    now = usual(detector) + PERIOD
    assert period(detector, now, arrivals=200, connects=190, retries=60, hurried=20)
    lines = []
    for n in range(8):
        now += PERIOD
        worse = n == 2
        lines.append(period(detector, now, arrivals=200 if worse else 40, connects=190 if worse else 2))
    assert lines[:6] == [""] * 6 and lines[6].startswith("storm over after 1.8 s: 392 connects")
    assert not detector.storm


def test_a_storm_does_not_become_what_is_usual() -> None:
    detector = RetryStormDetector()
    now = usual(detector)
    before = detector.usual_connects
    for _ in range(400):
        now += PERIOD
        period(detector, now, arrivals=200, connects=190, retries=100, hurried=50)
    assert detector.storm and detector.usual_connects == before


# Pace of accepts


@given(st.lists(st.tuples(st.integers(0, 50 * MILLI), st.integers(0, 100 * MILLI)), max_size=200))
def test_newcomers_wait_while_the_router_is_late_but_never_starve(steps: list[tuple[int, int]]) -> None:
    pace, now = AcceptPacer(100, 4000), START
    for step, late in steps:
        now += step
        pace.noted(late)
        wait = pace.accepted(now)
        assert 100 <= pace.rate <= 4000
        assert 0 <= wait <= 2 * SECOND // 100 + SECOND // 100
        now += wait


def test_lateness_slows_the_accepts_and_they_come_back() -> None:
    pace, now = AcceptPacer(100, 4000), START
    for _ in range(20):
        now += 60 * MILLI
        pace.noted(40 * MILLI)
        pace.accepted(now)
    assert pace.rate == 100
    for _ in range(40):
        now += 60 * MILLI
        pace.accepted(now)
    assert pace.rate == 4000


def test_in_calm_nobody_waits() -> None:
    pace, now = AcceptPacer(100, 4000), START
    assert all(pace.accepted(now + n * MILLI) == 0 for n in range(1000))


def test_a_router_that_has_just_started_takes_its_first_crowd_for_no_storm() -> None:
    """It knows of no usual number, and everybody connects to it."""
    detector = RetryStormDetector()
    detector.step(START)
    assert period(detector, START + PERIOD, arrivals=200, connects=40, retries=2) == ""


def test_two_processes_of_one_router_are_no_storm() -> None:
    """In an upgrade all clients came over at once, and the new process refused work for it."""
    for excused in (False, True):
        detector, lines = RetryStormDetector(), []
        for n in range(40):
            detector.step(START + n * PERIOD)
        now = START + 40 * PERIOD
        detector.excused = now + 8 * PERIOD if excused else 0
        for n in range(8):
            counts = detector.now_counts
            counts.connects, counts.arrivals, counts.retries, counts.late = 200, 200, 60, SECOND // 10
            lines.append(detector.step(now + n * PERIOD))
        assert any(lines) is not excused
        counts = detector.now_counts
        counts.connects, counts.arrivals, counts.retries, counts.late = 200, 200, 60, SECOND // 10
        assert detector.step(now + 9 * PERIOD).startswith("storm seen") or detector.storm  # the time is over
