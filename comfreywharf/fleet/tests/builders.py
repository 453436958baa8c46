"""Metric pages as nodes render them, for tests without nodes."""

from comfreywharf.metrics import Gauges, Metrics
from comfreywharf.metrics.render import render

__all__ = ["page_text"]


def page_text(
    answered=100, refused=0, late_s=0.001, unreachable=0, unavailable_s=0.0, **gauges
):
    """Return the metric page of a node.

    ``late_s`` is by how much its event loop was late each time, ``unreachable`` how
    often it failed to reach the log, and ``gauges`` replaces values of `Gauges`.
    """
    metrics = Metrics()
    for _ in range(answered):
        metrics.request_ended("booking", "answered", "", 0.004)
    for _ in range(refused):
        metrics.request_ended("booking", "not_run", "overloaded", 0.001)
    for _ in range(50):
        metrics.loop_woke(late_s)
    for _ in range(unreachable):
        metrics.event_reported("log_unreachable", "warning")
    metrics.slices_unavailable("booking", 1, unavailable_s)
    values = {
        "owned_slices": {"booking": 5},
        "backend_running_requests": 0,
        "backend_slots": 10,
        "waiting_requests": 0,
        "streams": 0,
        "lease_held": True,
        "lease_remaining_s": 0.5,
        "log_reachable": True,
        "log_calls": {"append": 3},
        "log_bytes": {"sent": 300},
        "peer_bytes": {("sent", "near", "leases"): 124},
        "fold_offset": 42,
        "fold_age_s": 0.3,
        "config_version": 2,
        "routes_version": 7,
        "routes_age_s": 0.2,
        "evacuated_domains": 0,
        "evacuation_slices": 0,
        "retry_tokens": {"booking": 1.5},
        **gauges,
    }
    return render(metrics, Gauges(**values))[0].decode()
