"""The metric families, with names by Prometheus convention, labels and help texts."""

from enum import Enum

import attrs

__all__ = ["FAMILIES", "Family", "Kind"]


class Kind(Enum):
    """The Prometheus type of a family."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@attrs.frozen
class Family:
    """One metric family; ``page`` names its page under docs/operations/metrics/."""

    name: str
    kind: Kind
    labels: tuple[str, ...]
    help: str
    page: str


def _family(name, kind, labels, page, text):
    return Family(f"comfreywharf_{name}", kind, tuple(labels.split()), text, page)


_COUNTER, _GAUGE, _HISTOGRAM = Kind.COUNTER, Kind.GAUGE, Kind.HISTOGRAM

FAMILIES = {
    family.name: family
    for family in (
        _family(
            "requests_total",
            _COUNTER,
            "service outcome reason",
            "outcomes",
            "Requests that entered here, by outcome and the reason of a refusal",
        ),
        _family(
            "repeated_sends_total",
            _COUNTER,
            "service reason",
            "retries",
            "Sends from here of requests that may have reached a backend server before",
        ),
        _family(
            "refused_retries_total",
            _COUNTER,
            "service",
            "retries",
            "Requests that weren't sent again since the service had no retries left",
        ),
        _family(
            "nested_calls_total",
            _COUNTER,
            "service rank",
            "queue",
            "Calls of this node's backend server, by the rank that they were sent with",
        ),
        _family(
            "lost_nested_calls_total",
            _COUNTER,
            "caller_service service rank reason",
            "queue",
            "Calls of this node's backend server that weren't answered, by reason",
        ),
        _family(
            "retry_tokens",
            _GAUGE,
            "service",
            "retries",
            "Retries of a service that are allowed from here now",
        ),
        _family(
            "request_duration_seconds",
            _HISTOGRAM,
            "service",
            "latency",
            "Time from a caller's request to the start of its answer",
        ),
        _family(
            "stage_duration_seconds",
            _HISTOGRAM,
            "service stage",
            "latency",
            "Time of a request in one stage at its owner: queue or server",
        ),
        _family(
            "ingress_unavailable_seconds_total",
            _COUNTER,
            "service",
            "unavailable-time",
            "Slice seconds in which requests that entered here found no server",
        ),
        _family(
            "owner_unavailable_seconds_total",
            _COUNTER,
            "service",
            "unavailable-time",
            "Slice seconds in which this node owned slices without a lease",
        ),
        _family(
            "slices_moved_total",
            _COUNTER,
            "service direction",
            "churn",
            "Slices that this node gained and lost",
        ),
        _family(
            "owned_slices", _GAUGE, "service", "imbalance", "Slices that this node owns"
        ),
        _family(
            "planned_capacity_slots",
            _GAUGE,
            "service node",
            "imbalance",
            "Capacity of each server as the planner believes it: slots times speed",
        ),
        _family(
            "backend_requests_total",
            _COUNTER,
            "service",
            "imbalance",
            "Requests that were sent to this node's own backend server",
        ),
        _family(
            "backend_running_requests",
            _GAUGE,
            "",
            "queue",
            "Requests at this node's backend server now",
        ),
        _family(
            "backend_slots", _GAUGE, "", "queue", "Slots of this node's backend server"
        ),
        _family(
            "backend_limit_per_second",
            _GAUGE,
            "",
            "queue",
            "Requests per second that this node's backend server takes while it limits",
        ),
        _family(
            "damaged_limits_total",
            _COUNTER,
            "",
            "queue",
            "Answers of this node's backend server whose limit can't be read",
        ),
        _family(
            "damaged_loads_total",
            _COUNTER,
            "",
            "queue",
            "Answers of this node's backend server whose reported load can't be read",
        ),
        _family(
            "backend_load_believed",
            _GAUGE,
            "",
            "queue",
            "0 while the load that this node's backend server reports isn't believed",
        ),
        _family(
            "admission_refusals_total",
            _COUNTER,
            "service reason",
            "queue",
            "Requests that found no slot at this node's backend server, by reason",
        ),
        _family(
            "waiting_requests",
            _GAUGE,
            "",
            "queue",
            "Requests that entered here and wait for their answer now",
        ),
        _family(
            "caller_connections",
            _GAUGE,
            "",
            "callers",
            "Connections of callers that are open",
        ),
        _family(
            "caller_memory_bytes",
            _GAUGE,
            "",
            "callers",
            "Estimated memory of callers' connections, requests and unsent answers",
        ),
        _family(
            "disconnected_callers_total",
            _COUNTER,
            "",
            "callers",
            "Connections that were closed to make room, since their callers stalled",
        ),
        _family("streams", _GAUGE, "", "streams", "Large answers being passed on now"),
        _family(
            "lease_held", _GAUGE, "", "leases", "1 while this node holds its lease"
        ),
        _family(
            "lease_remaining_seconds",
            _GAUGE,
            "",
            "leases",
            "Time until the lease ends if no witness renews it",
        ),
        _family(
            "events_total",
            _COUNTER,
            "event severity",
            "events",
            "Events of the catalogue that this node reported",
        ),
        _family(
            "unknown_names_total",
            _COUNTER,
            "message",
            "events",
            "Headers and fields of the platform's messages that aren't known here",
        ),
        _family("log_reachable", _GAUGE, "", "log", "1 while the log service answers"),
        _family(
            "log_calls_total",
            _COUNTER,
            "call",
            "log",
            "Calls to the log service, by kind",
        ),
        _family(
            "log_bytes_total",
            _COUNTER,
            "direction",
            "log",
            "Bytes of bodies sent to the log service and received from it",
        ),
        _family(
            "peer_bytes_total",
            _COUNTER,
            "direction distance kind",
            "traffic",
            "Bytes of calls from here to other nodes, by failure domain and kind",
        ),
        _family(
            "fold_age_seconds",
            _GAUGE,
            "",
            "fold-lag",
            "How long ago the log confirmed what this node has folded",
        ),
        _family(
            "fold_offset", _GAUGE, "", "fold-lag", "Offset of the next record to fold"
        ),
        _family(
            "config_version",
            _GAUGE,
            "",
            "fold-lag",
            "Version of the configuration in force here",
        ),
        _family(
            "routes_version",
            _GAUGE,
            "",
            "fold-lag",
            "Version of the routes in force here; 0 where there are none",
        ),
        _family(
            "routes_age_seconds",
            _GAUGE,
            "",
            "fold-lag",
            "For how long the routes in force here may have been out of date",
        ),
        _family(
            "unreadable_routes_total",
            _COUNTER,
            "",
            "fold-lag",
            "Routes of peers that couldn't be applied here",
        ),
        _family(
            "damaged_evacuations_total",
            _COUNTER,
            "",
            "evacuations",
            "Orders to evacuate that can't be read or name no known failure domain",
        ),
        _family(
            "evacuated_domains",
            _GAUGE,
            "",
            "evacuations",
            "Failure domains that are evacuated",
        ),
        _family(
            "evacuation_slices",
            _GAUGE,
            "",
            "evacuations",
            "Slices that nodes in evacuated failure domains still own",
        ),
        _family(
            "level_refusals_total",
            _COUNTER,
            "service rank",
            "queue",
            "Requests that were refused where they arrived, by their service's level",
        ),
        _family(
            "early_return_refusals_total",
            _COUNTER,
            "service",
            "queue",
            "Callers refused where they arrived, since their Retry-After hadn't passed",
        ),
        _family(
            "minimum_starts_total",
            _COUNTER,
            "service rank",
            "queue",
            "Requests that got a slot by the minimum share of their rank",
        ),
        _family(
            "known_loads",
            _GAUGE,
            "service source",
            "queue",
            "Servers whose recent load is known here, by who told it",
        ),
        _family(
            "admission_level_rank",
            _GAUGE,
            "service",
            "queue",
            "Least urgent rank that the strictest level known here admits",
        ),
        _family(
            "admission_level_fraction",
            _GAUGE,
            "service",
            "queue",
            "Fraction of that rank's requests that the strictest level admits",
        ),
        _family(
            "loop_late_seconds",
            _HISTOGRAM,
            "",
            "latency",
            "How much later than due the event loop woke a greenlet that sleeps",
        ),
    )
}
