"""Render a scrape with collectors of aioprometheus, built from plain numbers."""

from itertools import accumulate

import aioprometheus
from aioprometheus import Registry

from comfreywharf.metrics.families import FAMILIES, Kind
from comfreywharf.metrics.registry import LATENCY_BOUNDS_S

__all__ = ["render"]


class _PrecountedHistogram(aioprometheus.Histogram):
    """A histogram whose buckets are counted in `Buckets`.

    The library's own histogram sorts the labels of each single observation, which
    costs more than all other bookkeeping of a request.
    """

    def get(self, labels):
        """Return the cumulative buckets, the count and the sum."""
        buckets = self.get_value(labels)
        totals = list(accumulate(buckets.counts))
        bounds = (*LATENCY_BOUNDS_S, float("inf"))
        counts = dict(zip(bounds, totals, strict=True))
        return {**counts, "count": totals[-1], "sum": buckets.sum_s}


_CLASSES = {
    Kind.COUNTER: aioprometheus.Counter,
    Kind.GAUGE: aioprometheus.Gauge,
    Kind.HISTOGRAM: _PrecountedHistogram,
}


def render(metrics, gauges, accept=""):
    """Return ``(body, headers)`` for a scrape.

    ``accept`` is the Accept header of the request. The library renders the text
    format unless the header requests the binary one.
    """
    registry = Registry()
    for name, values in _values(metrics, gauges).items():
        family = FAMILIES[f"comfreywharf_{name}"]
        collector = _CLASSES[family.kind](family.name, family.help, registry=registry)
        for labels, value in values.items():
            labels_by_name = zip(family.labels, map(_escape, labels), strict=True)
            collector.set_value(dict(labels_by_name), value)
    return aioprometheus.render(registry, [accept] if accept else [])


def _escape(value):
    """Escape a label's value, since the library's text format doesn't.

    Otherwise, a quote in a service's name would make the whole scrape invalid.
    """
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _values(metrics, gauges):
    """Return the values of each family, keyed by their labels' values."""
    return {
        "requests_total": metrics.requests,
        "repeated_sends_total": metrics.repeated_sends,
        "refused_retries_total": _with_one_label(metrics.refused_retries),
        "nested_calls_total": {
            (service, str(rank)): count
            for (service, rank), count in metrics.nested_calls.items()
        },
        "lost_nested_calls_total": metrics.lost_nested_calls,
        "retry_tokens": _with_one_label(gauges.retry_tokens),
        "request_duration_seconds": _with_one_label(metrics.durations),
        "stage_duration_seconds": metrics.stages,
        "ingress_unavailable_seconds_total": _with_one_label(metrics.outages.seconds),
        "owner_unavailable_seconds_total": _with_one_label(metrics.owner_unavailable_s),
        "slices_moved_total": metrics.slices_moved,
        "owned_slices": _with_one_label(gauges.owned_slices),
        "planned_capacity_slots": gauges.planned_capacity_slots,
        "backend_requests_total": _with_one_label(metrics.backend_requests),
        "backend_running_requests": _unlabelled(gauges.backend_running_requests),
        "backend_slots": _unlabelled(gauges.backend_slots),
        "admission_refusals_total": metrics.admission_refusals,
        "level_refusals_total": metrics.level_refusals,
        "early_return_refusals_total": _with_one_label(gauges.early_return_refusals),
        "known_loads": gauges.known_loads,
        "minimum_starts_total": {
            (service, str(rank)): count
            for service, starts in metrics.minimum_starts.items()
            for rank, count in starts.items()
        },
        "admission_level_rank": _with_one_label(
            {name: rank for name, (rank, _) in gauges.admission_levels.items()}
        ),
        "admission_level_fraction": _with_one_label(
            {name: fraction for name, (_, fraction) in gauges.admission_levels.items()}
        ),
        "waiting_requests": _unlabelled(gauges.waiting_requests),
        "caller_connections": _unlabelled(gauges.caller_connections),
        "caller_memory_bytes": _unlabelled(gauges.caller_memory_bytes),
        "disconnected_callers_total": _unlabelled(gauges.disconnected_callers),
        "streams": _unlabelled(gauges.streams),
        "lease_held": _unlabelled(int(gauges.lease_held)),
        "lease_remaining_seconds": _unlabelled(gauges.lease_remaining_s),
        "events_total": metrics.events,
        "log_reachable": _unlabelled(int(gauges.log_reachable)),
        "log_calls_total": _with_one_label(gauges.log_calls),
        "log_bytes_total": _with_one_label(gauges.log_bytes),
        "peer_bytes_total": gauges.peer_bytes,
        "fold_offset": _unlabelled(gauges.fold_offset),
        "fold_age_seconds": _unlabelled(gauges.fold_age_s),
        "config_version": _unlabelled(gauges.config_version),
        "routes_version": _unlabelled(gauges.routes_version),
        "routes_age_seconds": _unlabelled(gauges.routes_age_s),
        "unreadable_routes_total": _unlabelled(metrics.unreadable_routes),
        "damaged_evacuations_total": _unlabelled(metrics.damaged_evacuations),
        "backend_limit_per_second": _if_known(gauges.backend_limit_per_s),
        "damaged_limits_total": _unlabelled(metrics.damaged_limits),
        "damaged_loads_total": _unlabelled(metrics.damaged_loads),
        "backend_load_believed": _unlabelled(int(gauges.backend_load_believed)),
        "unknown_names_total": _with_one_label(metrics.unknown_names),
        "evacuated_domains": _unlabelled(gauges.evacuated_domains),
        "evacuation_slices": _unlabelled(gauges.evacuation_slices),
        "loop_late_seconds": _unlabelled(metrics.lateness),
    }


def _with_one_label(values):
    return {(label,): value for label, value in values.items()}


def _if_known(value):
    return {} if value is None else _unlabelled(value)


def _unlabelled(value):
    return {(): value}
