"""The metrics of a router, as statsd takes them."""

from rainhitch.telemetry.router_metrics import RouterMetrics


def test_metrics_are_named_by_class_with_their_statsd_kind() -> None:
    tally = RouterMetrics(["menu-read", "order-place"])
    tally.served[0], tally.rejected[1], tally.failed[1], tally.in_flight = 812, 3, 2, 14
    told = tally.lines(900, 9, 1)
    assert "app.responses.menu-read.ok:812|c" in told and "app.responses.menu-read.shed:0|c" in told
    assert "app.responses.order-place.shed:3|c" in told and "app.responses.order-place.errors:2|c" in told
    assert {"app.active:14|g", "app.tries:900|c", "app.pool_size:9|g", "app.pool_ejected:1|g"} <= set(told)
