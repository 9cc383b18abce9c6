"""Storms are distinguished from ordinary peaks, and end only after several calm periods."""

from support import MILLI, SECOND, START

from rainhitch.overload.storm_detector import PERIOD_NS, RetryStormDetector


def end_period(detector: RetryStormDetector, now: int, **counts: int) -> str:
    """Ends a period with these counts; returns the detector's log line."""
    for name, value in counts.items():
        setattr(detector.current, name, value)
    detector.open_connections = counts.get("connects", 0) + 200
    return detector.step(now)


def set_storm_counts(detector: RetryStormDetector) -> None:
    """Sets the counts of a period in a storm."""
    counts = detector.current
    counts.connects = 200
    counts.arrivals = 200
    counts.retries = 60
    counts.max_timer_delay_ns = SECOND // 10


def run_normal_periods(detector: RetryStormDetector, seconds: int = 30) -> int:
    """Simulates `seconds` of normal periods; returns the time at their end, ns."""
    now = START
    detector.step(now)
    for _ in range(4 * seconds):
        now += PERIOD_NS
        assert end_period(detector, now, arrivals=40, connects=2, retries=4, hurried=1) == ""
    return now


def test_an_ordinary_peak_is_no_storm_and_a_peak_of_reconnects_is() -> None:
    detector = RetryStormDetector()
    now = run_normal_periods(detector)
    for _ in range(40):  # 2.5 times the load, of which much is rejected and retried once
        now += PERIOD_NS
        assert (
            end_period(
                detector, now, arrivals=100, connects=6, retries=30, hurried=10, max_timer_delay_ns=5 * MILLI
            )
            == ""
        )
    line = end_period(detector, now + PERIOD_NS, arrivals=200, connects=190, retries=60, hurried=20)
    assert line.startswith("storm began connects_sign=2.0 ") and " connects=190 requests=200 " in line


def test_a_high_fraction_of_retries_is_a_storm() -> None:
    detector = RetryStormDetector()
    now = run_normal_periods(detector)
    assert end_period(detector, now + PERIOD_NS, arrivals=130, connects=5, retries=90, hurried=30).startswith(
        "storm"
    )


def test_a_storm_ends_only_after_consecutive_calm_periods() -> None:
    detector = RetryStormDetector()
    now = run_normal_periods(detector) + PERIOD_NS
    assert end_period(detector, now, arrivals=200, connects=190, retries=60, hurried=20)
    lines = []
    for n in range(8):
        now += PERIOD_NS
        worse = n == 2
        lines.append(end_period(detector, now, arrivals=200 if worse else 40, connects=190 if worse else 2))
    assert lines[:6] == [""] * 6 and lines[6].startswith("storm ended duration_s=1.8 connects=392 ")
    assert not detector.storm_active


def test_a_storm_does_not_change_the_baseline() -> None:
    detector = RetryStormDetector()
    now = run_normal_periods(detector)
    before = detector.baseline_connects_per_s
    for _ in range(400):
        now += PERIOD_NS
        end_period(detector, now, arrivals=200, connects=190, retries=100, hurried=50)
    assert detector.storm_active and detector.baseline_connects_per_s == before


def test_the_first_clients_of_a_router_that_has_just_started_are_no_storm() -> None:
    """After a start no baseline is known yet, and all clients connect."""
    detector = RetryStormDetector()
    detector.step(START)
    assert end_period(detector, START + PERIOD_NS, arrivals=200, connects=40, retries=2) == ""


def test_two_processes_of_one_router_are_no_storm() -> None:
    """Guards against an upgrade, in which all clients move at once, being taken for a storm."""
    for within_grace_period in (False, True):
        detector, lines = RetryStormDetector(), []
        for n in range(40):
            detector.step(START + n * PERIOD_NS)
        now = START + 40 * PERIOD_NS
        detector.upgrade_until_ns = now + 8 * PERIOD_NS if within_grace_period else 0
        for n in range(8):
            set_storm_counts(detector)
            lines.append(detector.step(now + n * PERIOD_NS))
        assert any(lines) is not within_grace_period
        set_storm_counts(detector)
        line = detector.step(now + 9 * PERIOD_NS)
        assert line.startswith("storm began") or detector.storm_active  # the grace period is over
