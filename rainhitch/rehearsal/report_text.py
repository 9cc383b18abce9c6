"""A report as text for a person at a terminal."""

from io import StringIO
from typing import TYPE_CHECKING, Any, Literal

from rainhitch.rehearsal.verdict import BROKEN, HELD, VOID

if TYPE_CHECKING:
    from rich.console import Console
    from rich.table import Table

Json = dict[str, Any]
MAX_VIOLATIONS = 12  # that the text shows
MAX_CAUSES = 6
STEP_S = 5  # of a row of the steps
BAR_CHARACTERS = 20  # of a service of 1
DIGEST_CHARACTERS = 16
VERDICTS = {HELD: "all held", BROKEN: "broken", VOID: "void: the rig itself ran late"}
SERVICE_TABLES = (
    ("class", "by_class"),
    ("customer, within its share", "by_customer"),
    ("room", "by_room"),
)  # header, and the report's key


def as_text(report: Json, width: int = 100, colour: bool = False) -> str:
    """The report for a terminal that is `width` characters wide."""
    from rich.console import Console  # only here: `rich` comes with the extra `rehearsal`

    out = StringIO()
    color_system: Literal["standard"] | None = "standard" if colour else None
    console = Console(file=out, width=width, force_terminal=colour, color_system=color_system)
    _print_head(console, report)
    console.print(_parts_and_prices(report))
    for header, key in SERVICE_TABLES:
        console.print(_service_table(header, report[key]))
    console.print(_steps(report))
    if report["causes"]:
        console.print(_causes(report["causes"]))
    _print_violations(console, report)
    _print_verdict(console, report)
    return out.getvalue()


def _print_line(console: "Console", line: str, style: str = "") -> None:
    """One line as it is: `rich` reads no markup in it."""
    from rich.text import Text

    console.print(Text(line, style=style))


def _table(*headers: str) -> "Table":
    """An empty table with these headers."""
    from rich import box
    from rich.table import Table

    return Table(*headers, box=box.SIMPLE_HEAD, pad_edge=False)


def _print_head(console: "Console", report: Json) -> None:
    """What was run, and what must hold."""
    _print_line(console, f"{report['scenario']}, seed {report['seed']}: {report['about']}", style="bold")
    _print_line(console, f"must hold: {report['must']}")


def _parts_and_prices(report: Json) -> "Table":
    """The parts of the score at the left, the prices at the right."""
    table = _table("", "service", "price", "points")
    parts = _name_and_figure(report["parts"])
    prices = _name_and_figure(report["prices"])
    for number in range(max(len(parts), len(prices))):
        part = parts[number] if number < len(parts) else ("", "")
        price = prices[number] if number < len(prices) else ("", "")
        table.add_row(*part, *price)
    return table


def _name_and_figure(figures: Json) -> list[tuple[str, str]]:
    """Each figure as text."""
    return [(name.replace("_", " "), f"{value:.3f}") for name, value in figures.items()]


def _service_table(header: str, services: Json) -> "Table":
    """The service of each class, customer or room."""
    table = _table(header, "service")
    for name, value in services.items():
        table.add_row(name, f"{value:.3f}")
    return table


def _steps(report: Json) -> "Table":
    """The service over the run, with the faults that acted."""
    table = _table("from", "requests", "service", "", "what the timeline did")
    for step in report["steps"]:
        from_s = step["from_s"]
        acting = [
            fault["what"]
            for fault in report["timeline"]
            if fault["from_s"] < from_s + STEP_S and fault["to_s"] >= from_s
        ]
        bar = "#" * round(BAR_CHARACTERS * step["service"])
        table.add_row(f"{from_s} s", str(step["requests"]), f"{step['service']:.3f}", bar, ", ".join(acting))
    return table


def _causes(causes: list[Json]) -> "Table":
    """Why worth was not earned."""
    table = _table("lost worth by cause", "requests", "of all worth")
    for cause in causes[:MAX_CAUSES]:
        table.add_row(cause["cause"], str(cause["requests"]), f"{cause['lost']:.4f}")
    return table


def _print_violations(console: "Console", report: Json) -> None:
    """How often each rule was broken, the first violations, and the expectations that were not met."""
    counts = ", ".join(f"{rule} {count}" for rule, count in report["rules"].items())
    is_broken = any(report["rules"].values())
    _print_line(console, f"rules: {counts}", style="red" if is_broken else "green")
    violations = report["breaches"]
    for one in violations[:MAX_VIOLATIONS]:
        place = f"{one['at_s']:.3f} s {one['rule']} {one['request']} {one['node']}"
        _print_line(console, f"  {place}: {one['what']}")
        for line in one.get("log", []):
            _print_line(console, f"    | {line}")
    if len(violations) > MAX_VIOLATIONS:
        more = len(violations) - MAX_VIOLATIONS
        _print_line(console, f"  and {more} more; --json FILE has them all")
    for line in report["unmet"]:
        _print_line(console, f"not met: {line}", style="red")


def _print_verdict(console: "Console", report: Json) -> None:
    """The main figures in a line, and the verdict."""
    figures = (
        f"service {report['service']:.4f}",
        f"score {report['score']:.4f}",
        f"with prices {report['net_score']:.4f}",
        f"database stops {report['database_stops']}",
        f"rig late {report['rig_late']['arrivals_p99_ms']:.1f} ms (p99)",
    )
    _print_line(console, "  ".join(figures))
    digest = report["plan_digest"][:DIGEST_CHARACTERS]
    _print_line(console, f"verdict: {VERDICTS[report['exit']]}   plan {digest}", style="bold")
