"""Write a self-contained page with the results of the benchmarks.

``python -m comfreywharf_dev.bench.report`` reads run/bench/*.json and compares them
with the last committed figures; ``--commit`` replaces the committed figures.
"""

import re
from html import escape
from pathlib import Path
from string import Template

import attrs
import orjson
from cyclopts import App

from comfreywharf_dev.bench.control_cost import TARGET_NODES
from comfreywharf_dev.bench.numbers import show
from comfreywharf_dev.bench.report_plots import bar_plot, line_plot
from comfreywharf_dev.bench.runner import OUTPUT_FOLDER

__all__ = ["COMMITTED", "PAGE", "Row", "render", "rows_of", "write"]

COMMITTED = Path("docs/report/figures.json")
COMMITTED_PAGE = Path("docs/report/index.html")
PAGE = Path("run/report.html")
TEMPLATE = Path(__file__).with_name("report_page.html")
DEPLOYMENTS = ("riga", "ahmedabad")


@attrs.frozen(kw_only=True)
class Row:
    """One figure of a run with its bound and the last committed value."""

    benchmark: str
    name: str
    value: float | None
    unit: str
    note: str
    points: tuple[tuple[float, float], ...]
    limit: float | None
    comparison: str
    passed: bool
    last: float | None

    @property
    def change(self):
        """Return the change against the last committed value, as a fraction."""
        if self.value is None or not self.last:
            return None
        return self.value / self.last - 1


def rows_of(record, committed):
    """Return the rows of one benchmark's record."""
    last = committed.get(record["benchmark"], {})
    return [_row(record["benchmark"], judged, last) for judged in record["judged"]]


def _row(benchmark, judged, last):
    figure, bound = judged["figure"], judged["bound"] or {}
    return Row(
        benchmark=benchmark,
        name=figure["name"],
        value=figure["value"],
        unit=figure["unit"],
        note=figure["note"],
        points=tuple(tuple(point) for point in figure["points"]),
        limit=bound.get("limit"),
        comparison=bound.get("comparison", ""),
        passed=judged["passed"],
        last=last.get(figure["name"]),
    )


def render(records, committed, template):
    """Return the page for the records of a run."""
    rows = {one["benchmark"]: rows_of(one, committed) for one in records}
    all_rows = [row for some in rows.values() for row in some]
    bounded = [row for row in all_rows if row.limit is not None]
    broken = [row for row in bounded if not row.passed]
    failed = [one["benchmark"] for one in records if one["error"]]
    summary = (
        f"{len(records)} benchmarks, {len(all_rows)} figures, {len(bounded)} bounds, "
        f"{len(broken)} broken, {len(failed)} benchmarks failed."
    )
    return Template(template).substitute(
        summary=escape(summary),
        broken=_broken_list(broken, failed),
        sections="\n".join(_sections(rows)),
        tables="\n".join(_benchmark_table(record, rows) for record in records),
    )


def _broken_list(rows, failed):
    texts = [f"{row.benchmark}.{row.name}: {_describe_bound(row)}" for row in rows]
    texts += [f"{name}: failed, not measured" for name in failed]
    items = "".join(f"<li class=broken>{escape(text)}</li>" for text in texts)
    return f"<ul>{items}</ul>" if items else ""


def _describe_bound(row):
    value = "not measured" if row.value is None else f"{show(row.value)} {row.unit}"
    return f"{value}, bound {row.comparison.replace('_', ' ')} {show(row.limit)}"


def _sections(rows):
    """Yield a section of plots for each subject that has figures."""
    subjects = (
        ("Imbalance, churn and unavailable time", _placement_plots),
        ("Hand-over and takeover", _takeover_plots),
        ("What a request costs", _path_plots),
        ("What control costs a node", _control_plots),
    )
    for title, make in subjects:
        plots = [plot for plot in make(rows) if plot]
        if plots:
            body = "\n".join(plots)
            yield f'<h2>{title}</h2>\n<div class="plots">{body}</div>'


PLACEMENT_FIGURE = re.compile(
    r"(?P<deployment>riga|ahmedabad)_(?P<trace>.+?)(?:_(?P<policy>at_once|hash_ring))?"
    r"_(?P<measure>imbalance|churn|unavailable)"
)
POLICY_TITLES = {
    None: "comfreywharf",
    "at_once": "rebalancing at once",
    "hash_ring": "consistent hashing",
}


def _placement_plots(rows):
    """Yield a plot for each deployment and measure: a bar for each policy."""
    found = {}
    for row in rows.get("placement", ()):
        match = PLACEMENT_FIGURE.fullmatch(row.name)
        if match and row.value is not None:
            plot = found.setdefault((match["deployment"], match["measure"]), {})
            plot[match["policy"], match["trace"]] = row
    for (deployment, measure), plot in found.items():
        traces = list(dict.fromkeys(trace for _, trace in plot))
        series = {
            title: [_value_of(plot.get((policy, trace))) for trace in traces]
            for policy, title in POLICY_TITLES.items()
        }
        last = [_last_value(plot.get((None, trace))) for trace in traces]
        if any(value is not None for value in last):
            series["last committed"] = last
        unit = next(iter(plot.values())).unit
        labels = [trace.replace("_", "\n") for trace in traces]
        yield bar_plot(f"{deployment.title()}: {measure}", unit, labels, series)


def _value_of(row):
    return None if row is None else row.value


def _last_value(row):
    return None if row is None else row.last


def _takeover_plots(rows):
    for benchmark in ("takeover", "planned_stop"):
        for row in rows.get(benchmark, ()):
            if len(row.points) > 1:
                title = f"{benchmark}: {row.name}"
                yield line_plot(title, "", row.unit, {row.name: row.points}, row.limit)


def _path_plots(rows):
    by_name = {row.name: row for row in rows.get("path_cost", ())}
    if "ingress_us" not in by_name:
        return
    names = ("ingress", "owner", "proxy", "server")
    chains = {"routed": "", "entered at the owner": "direct_", "bare chain": "bare_"}
    series = {
        chain: [_value_or_none(by_name, f"{prefix}{name}_us") for name in names]
        for chain, prefix in chains.items()
    }
    yield bar_plot("Processor time of one request", "µs", names, series)
    points = {
        name: [(x, y / 1e4) for x, y in by_name[f"{name}_us"].points]
        for name in ("ingress", "owner", "server")
    }
    yield line_plot("Processor time over rate", "requests/s", "% of a core", points)


def _value_or_none(by_name, name):
    return by_name[name].value if name in by_name else None


def _control_plots(rows):
    by_name = {row.name: row for row in rows.get("control_cost", ())}
    for field, title in (
        ("core", "Processor time, cores a node"),
        ("rss_mib", "Memory, MiB a node"),
        ("wire_bytes_per_s", "Bytes a second and node"),
    ):
        measured = [
            row
            for name, row in by_name.items()
            if re.fullmatch(rf"{field}_at_(largest|\d+)", name)
        ]
        points = [row for row in measured if row.points]
        limits = [row for row in measured if row.limit is not None]
        if points:
            limit = limits[0].limit if limits else None
            series = {"mean node": points[0].points}
            if limits and limits[0].value is not None:
                extrapolated = (TARGET_NODES, limits[0].value)
                series["extrapolated"] = [points[0].points[-1], extrapolated]
            yield line_plot(title, "nodes", points[0].unit, series, limit)


def _benchmark_table(record, rows):
    conditions = (
        f"load {record['load_before']:.1f} to {record['load_after']:.1f} on "
        f"{record['cores']} cores, {record['stolen_fraction']:.0%} of processor time "
        f"withheld by the host, {record['duration_s']:.0f} s"
    )
    body = "\n".join(_table_row(row) for row in rows[record["benchmark"]])
    head = "<th><th class=number>value<th>unit<th class=number>last"
    head += "<th class=number>change<th>bound<th>note"
    return (
        f"<h3>{escape(record['benchmark'])}</h3><p class=note>{escape(conditions)}</p>"
        f"<table><tr>{head}</tr>{body}</table>"
    )


def _table_row(row):
    change = "" if row.change is None else f"{row.change:+.0%}"
    verdict = "ok" if row.passed else "broken"
    bound = ""
    if row.limit is not None:
        comparison = row.comparison.replace("_", " ")
        bound = (
            f"<span class={verdict}>{comparison} {show(row.limit)}: {verdict}</span>"
        )
    return (
        f"<tr><td>{escape(row.name)}<td class=number>{_number(row.value)}"
        f"<td>{escape(row.unit)}<td class=number>{_number(row.last)}"
        f"<td class=number>{change}<td>{bound}<td class=note>{escape(row.note)}</tr>"
    )


def _number(value):
    return "" if value is None else show(value)


def write(records, committed, path):
    """Write the page."""
    path.parent.mkdir(parents=True, exist_ok=True)
    page = render(records, committed, TEMPLATE.read_text(encoding="utf-8"))
    path.write_text(page, encoding="utf-8")


def read_records(folder=OUTPUT_FOLDER):
    """Return the records of the last runs, by name."""
    return [orjson.loads(path.read_bytes()) for path in sorted(folder.glob("*.json"))]


def read_committed():
    """Return the last committed values by benchmark and figure."""
    return orjson.loads(COMMITTED.read_bytes()) if COMMITTED.exists() else {}


def values_of(records, committed):
    """Return the committed values updated with those of successful runs."""
    values = {name: dict(some) for name, some in committed.items()}
    for record in records:
        if not record["error"]:
            values[record["benchmark"]] = {
                judged["figure"]["name"]: judged["figure"]["value"]
                for judged in record["judged"]
            }
    return values


app = App(name="report", help="Write a page with the results of the benchmarks.")


@app.default
def report(*, commit: bool = False):
    """Write run/report.html; with ``--commit`` also docs/report/."""
    records, committed = read_records(), read_committed()
    write(records, committed, PAGE)
    print(PAGE)
    if commit:
        write(records, committed, COMMITTED_PAGE)
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        values = values_of(records, committed)
        COMMITTED.write_bytes(orjson.dumps(values, option=options) + b"\n")
        print(COMMITTED_PAGE)


if __name__ == "__main__":
    app()
