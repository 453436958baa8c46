"""Compute docs/CAPACITY.md from measured slopes.

``python -m comfreywharf_dev.bench.capacity take --note "..."`` stores the figures of
the last runs; ``write`` writes the page; ``check`` fails if the page is outdated.
``capacity_page.md`` is the template of the page, with a placeholder for each number.
"""

import sys
from pathlib import Path
from string import Template

import attrs
import orjson
from cyclopts import App

from comfreywharf.ownership import LeaseTerms
from comfreywharf.placement import report_interval_s
from comfreywharf.placement.planning import round_interval_s
from comfreywharf.routing.memory import MemoryLimits
from comfreywharf_dev.bench.control_cost import SLICES_PER_NODE
from comfreywharf_dev.bench.numbers import show
from comfreywharf_dev.bench.runner import OUTPUT_FOLDER
from comfreywharf_dev.bench.slopes import extrapolate, fit_line

__all__ = ["MEASURED", "PAGE", "DesignSize", "render", "take"]

MEASURED = Path("docs/capacity.json")
PAGE = Path("docs/CAPACITY.md")
TEMPLATE = Path(__file__).with_name("capacity_page.md")
BENCHMARKS = ("path_cost", "control_cost", "state_size", "server_loop")
DAY_S = 86_400
MEBIBYTE = 1 << 20


@attrs.frozen(kw_only=True)
class DesignSize:
    """The size to design for, and assumptions where the requirements give no value."""

    nodes: int = 640
    keys: int = 470_000_000
    requests_per_s: float = 7_200_000.0
    patches_per_day: int = 600
    restarts_per_day: int = 78
    losses_per_day: int = 2
    domains: int = 6
    core_limit: float = 0.031
    memory_limit_mib: float = 128.0
    bytes_limit_per_s: float = 18_000.0
    slices_per_node: int = 16
    witnesses: int = 3
    log_appends_per_s: float = 400.0
    answer_s: float = 0.010

    @property
    def node_requests_per_s(self):
        """Return the mean rate of requests that a node receives from callers."""
        return self.requests_per_s / self.nodes

    @property
    def slices(self):
        """Return the number of slices of all services."""
        return self.nodes * self.slices_per_node


def take(measured, folder, note):
    """Return the stored figures updated with those of the last runs.

    Runs that ended in an error are left out. A note adds an entry to the history.
    """
    stored = {**measured}
    for name in BENCHMARKS:
        path = folder / f"{name}.json"
        if not path.exists():
            continue
        record = orjson.loads(path.read_bytes())
        if record["error"]:
            continue
        stored[name] = {
            "conditions": {
                field: round(record[field], 3)
                for field in ("load_before", "load_after", "stolen_fraction", "cores")
            },
            "figures": {
                one["figure"]["name"]: _stored_figure(one["figure"])
                for one in record["judged"]
                if one["figure"]["value"] is not None
            },
        }
    control = stored.get("control_cost")
    if control and note:
        names = ("core_at_640", "rss_mib_at_640", "wire_bytes_per_s_at_640")
        entry = {"after": note, **control["conditions"]}
        entry |= {name: control["figures"][name]["value"] for name in names}
        stored["history"] = [*stored.get("history", []), entry]
    return stored


def _stored_figure(figure):
    return {
        "value": _rounded(figure["value"]),
        "unit": figure["unit"],
        "points": [
            [_rounded(number) for number in point] for point in figure["points"]
        ],
    }


def _rounded(number):
    return float(f"{number:.5g}")


class PageNumbers:
    """The numbers of the page, computed from the stored figures."""

    def __init__(self, measured, size):
        self._measured = measured
        self._size = size
        self.numbers = {}

    def figure(self, name):
        """Return a stored figure, given as ``benchmark.figure``."""
        benchmark, _, figure = name.partition(".")
        return self._measured[benchmark]["figures"][figure]["value"]

    def points(self, name):
        """Return the measured points of a stored figure."""
        benchmark, _, figure = name.partition(".")
        return self._measured[benchmark]["figures"][figure]["points"]

    def put(self, **numbers):
        """Set numbers or texts of the page by name."""
        for name, value in numbers.items():
            self.numbers[name] = value if isinstance(value, str) else show(value)

    def compute(self):
        """Compute all numbers and return them by name."""
        for name, value in attrs.asdict(self._size).items():
            self.put(**{name: value})
        self._compute_requests()
        self._compute_control()
        self._compute_roles()
        self._compute_log()
        self.put(conditions=self._condition_rows(), history=self._history_rows())
        return self.numbers

    def _compute_requests(self):
        size = self._size
        ingress_us, owner_us = (
            self.figure(f"path_cost.{name}_us") for name in ("ingress", "owner")
        )
        direct_us = self.figure("path_cost.direct_owner_us")
        load = size.node_requests_per_s
        self.put(
            node_requests_per_s=load,
            ingress_us=ingress_us,
            owner_us=owner_us,
            routed_us=ingress_us + owner_us,
            direct_us=direct_us,
            bare_proxy_us=self.figure("path_cost.bare_proxy_us"),
            bare_server_us=self.figure("path_cost.bare_server_us"),
            cost_ratio=self.figure("path_cost.cost_ratio"),
            direct_cost_ratio=self.figure("path_cost.direct_cost_ratio"),
            p99_ms=self.figure("path_cost.routed_p99_half_peak"),
            bare_p99_ms=self.figure("path_cost.bare_p99_half_peak"),
            ingress_cores=load * ingress_us / 1e6,
            owner_cores=load * owner_us / 1e6,
            routed_cores=load * (ingress_us + owner_us) / 1e6,
            direct_cores=load * direct_us / 1e6,
            routed_per_s=1e6 / (ingress_us + owner_us),
            direct_per_s=1e6 / direct_us,
            routed_total=size.nodes * 1e6 / (ingress_us + owner_us),
            direct_total=size.nodes * 1e6 / direct_us,
            routed_share=100e6 / (ingress_us + owner_us) / load,
            direct_share=100e6 / direct_us / load,
            wanted_us=1e6 / load,
        )
        loop = ("pywsgi_us", "lean_headers_us", "stream_us", "forward_us")
        loop += ("forward_batch_us",)
        self.put(**{name: self.figure(f"server_loop.{name}") for name in loop})
        lean_us = direct_us - self.figure("server_loop.pywsgi_us")
        lean_us += self.figure("server_loop.lean_headers_us")
        self.put(lean_direct_us=lean_us, lean_direct_per_s=1e6 / lean_us)

    def _compute_control(self):
        size = self._size
        limits = {
            "core": size.core_limit,
            "rss_mib": size.memory_limit_mib,
            "wire_bytes_per_s": size.bytes_limit_per_s,
        }
        rows = []
        for nodes, _ in self.points("control_cost.core_at_largest"):
            cells = [show(nodes)]
            for name in (*limits, "worst_core", "log_core"):
                points = dict(self.points(f"control_cost.{name}_at_largest"))
                cells.append(show(points[nodes]))
            rows.append(cells)
        for name, limit in limits.items():
            points = self.points(f"control_cost.{name}_at_largest")
            line = fit_line(points)
            value = extrapolate(points, size.nodes)
            self.put(
                **{
                    f"{name}_base": line.base,
                    f"{name}_slope": line.slope,
                    f"{name}_640": value,
                    f"{name}_verdict": "within" if value <= limit else "**over**",
                }
            )
        self.put(largest=self.figure("control_cost.largest_size"))
        self.put(slices_per_node_measured=SLICES_PER_NODE)
        worst = self.points("control_cost.worst_core_at_largest")
        self.put(
            control_rows=table_rows(rows),
            worst_core_slope=fit_line(worst).slope,
            worst_core_640=extrapolate(worst, size.nodes),
            worst_core_capped=fit_line(worst).at(
                size.nodes / report_interval_s(size.nodes)
            ),
        )

    def _compute_roles(self):
        size = self._size
        slice_bytes = self.figure("state_size.slice_bytes")
        member_bytes = self.figure("state_size.member_bytes")
        peer_bytes = self.figure("state_size.peer_connection_bytes")
        caller_bytes = self.figure("state_size.caller_connection_bytes")
        in_flight = size.node_requests_per_s * size.answer_s
        renewals = size.witnesses / LeaseTerms().renew_interval_s
        self.put(
            slices=size.slices,
            slice_bytes=slice_bytes,
            member_bytes=member_bytes,
            peer_connection_bytes=peer_bytes,
            caller_connection_bytes=caller_bytes,
            idle_rss_mib=self.figure("state_size.idle_rss_bytes") / MEBIBYTE,
            table_mib=(size.slices * slice_bytes + size.nodes * member_bytes)
            / MEBIBYTE,
            keys_per_slice=size.keys / size.slices,
            peers_mib=2 * (size.nodes - 1) * peer_bytes / MEBIBYTE,
            callers_mib=in_flight * caller_bytes / MEBIBYTE,
            in_flight=in_flight,
            per_peer=size.node_requests_per_s / size.nodes,
            renewals_per_s=renewals,
            renewals_total=renewals * size.nodes,
            lookup_us=self.figure("state_size.owner_lookup_us"),
            lookup_core=100
            * self.figure("state_size.owner_lookup_us")
            * size.node_requests_per_s
            / 1e6,
        )
        self._compute_planner()
        self._compute_answer_memory()

    def _compute_planner(self):
        size = self._size
        round_ms = self.figure("state_size.plan_round_ms")
        report_us = self.figure("state_size.load_report_us")
        round_s = round_interval_s(size.slices)
        report_s = report_interval_s(size.nodes)
        reports_per_s = size.nodes / report_s
        planner_cores = round_ms / 1000 / round_s + reports_per_s * report_us / 1e6
        self.put(
            plan_round_ms=round_ms,
            plan_round_s=round_s,
            report_interval_s=report_s,
            reports_per_s=reports_per_s,
            planner_core=100 * planner_cores,
        )

    def _compute_answer_memory(self):
        size = self._size
        entry_bytes = self.figure("state_size.remembered_bytes")
        limits = MemoryLimits()
        wanted = size.node_requests_per_s * limits.age_s
        self.put(
            remembered_bytes=entry_bytes,
            remembered_entries=limits.entries,
            remembered_age_s=limits.age_s,
            remembered_window_s=limits.entries / size.node_requests_per_s,
            remembered_full_mib=limits.entries * entry_bytes / MEBIBYTE,
            remembered_wanted_mib=wanted * entry_bytes / MEBIBYTE,
        )

    def _compute_log(self):
        size = self._size
        record_bytes = self.figure("state_size.announcement_bytes")
        fold_us = self.figure("state_size.announcement_fold_us")
        # A restart writes an announcement and a lease. Its slices move away
        # before it and back after it, with one record for each direction, and
        # each moved slice is reported as released once in each direction.
        restart_records = 4 + 2 * size.slices_per_node
        loss_records = 2 + 2 * size.slices_per_node
        records = size.patches_per_day
        records += size.restarts_per_day * restart_records
        records += size.losses_per_day * loss_records
        fleet_records = 2 * size.nodes
        self.put(
            record_bytes=record_bytes,
            fold_us=fold_us,
            restart_records=restart_records,
            loss_records=loss_records,
            records_per_day=records,
            records_per_s=records / DAY_S,
            log_bytes_per_s=records * record_bytes / DAY_S,
            fold_ms_per_day=records * fold_us / 1000,
            fleet_records=fleet_records,
            fleet_append_s=fleet_records / size.log_appends_per_s,
            domain_nodes=size.nodes / size.domains,
            domain_records=size.nodes / size.domains * loss_records,
            domain_append_s=size.nodes
            / size.domains
            * loss_records
            / size.log_appends_per_s,
        )

    def _condition_rows(self):
        rows = [
            [name, *(show(v) for v in self._measured[name]["conditions"].values())]
            for name in BENCHMARKS
        ]
        return table_rows(rows)

    def _history_rows(self):
        rows = [
            [
                entry["after"],
                show(entry["core_at_640"]),
                show(entry["rss_mib_at_640"]),
                show(entry["wire_bytes_per_s_at_640"]),
                show(entry["load_before"]),
            ]
            for entry in self._measured.get("history", [])
        ]
        return table_rows(rows)


def table_rows(rows):
    """Return the rows of a Markdown table."""
    return "\n".join("| " + " | ".join(cells) + " |" for cells in rows)


def render(measured, template):
    """Return the page for stored figures; raises `KeyError` if one is missing."""
    numbers = PageNumbers(measured, DesignSize()).compute()
    return Template(template).substitute(numbers)


def _read_measured():
    return orjson.loads(MEASURED.read_bytes()) if MEASURED.exists() else {}


app = App(name="capacity", help="Compute docs/CAPACITY.md from measured slopes.")


@app.command(name="take")
def take_command(*, note: str = ""):
    """Store the figures of the last runs; a note adds them to the history."""
    stored = take(_read_measured(), OUTPUT_FOLDER, note)
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    MEASURED.write_bytes(orjson.dumps(stored, option=options) + b"\n")


@app.command
def write():
    """Write the page."""
    page = render(_read_measured(), TEMPLATE.read_text(encoding="utf-8"))
    PAGE.write_text(page, encoding="utf-8")


@app.command
def check():
    """Exit with 1 if the page doesn't match the stored figures."""
    page = render(_read_measured(), TEMPLATE.read_text(encoding="utf-8"))
    if page != PAGE.read_text(encoding="utf-8"):
        sys.exit(
            f"{PAGE} is stale; run python -m comfreywharf_dev.bench.capacity write"
        )


if __name__ == "__main__":
    app()
