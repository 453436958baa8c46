"""A deployment like Riga's on loopback: two services in three failure domains."""

from comfreywharf.records import ServiceConfig
from comfreywharf_dev.standins.cluster import NodePlan

__all__ = ["RIGA_DOMAINS", "riga_plans", "riga_services"]

RIGA_DOMAINS = ("agenskalns", "teika", "purvciems")


def riga_plans(booking=7, files=3, **fields):
    """Return the plans of Riga's nodes, spread over three failure domains.

    ``booking`` and ``files`` are the numbers of nodes of the services of that name.
    """
    plans = []
    for service, count in (("booking", booking), ("files", files)):
        for index in range(count):
            domain = RIGA_DOMAINS[index % len(RIGA_DOMAINS)]
            node_id = f"{service}-{index + 1}"
            plans.append(
                NodePlan(
                    node_id=node_id, service=service, failure_domain=domain, **fields
                )
            )
    return plans


def riga_services(slices=32):
    """Return the declarations of Riga's services."""
    return {
        "booking": ServiceConfig(name="booking", slices=slices, unavailable_weight=3.0),
        "files": ServiceConfig(
            name="files", divided_by_key=False, longest_request_ms=60000
        ),
    }
