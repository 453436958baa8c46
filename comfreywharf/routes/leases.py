"""The bound on leases that follows from the operator's routes."""

__all__ = ["longest_lease_ms"]

LEASE_PER_TARGET = 2.5
"""The longest lease of a service's owners, in latency targets of its slowest route.
Work that takes longer is answered too late to be worth a longer wait after a loss."""


def longest_lease_ms(table, service_name):
    """Return the bound for the leases of a service's owners, in milliseconds.

    It is zero for a service that isn't divided, since it has no owners.
    """
    service = table.service(service_name)
    if service is None or not service.divided_by_number:
        return 0
    targets_ms = [
        route.latency_target_ms
        for route in table.routes
        if any(part.service == service_name for part in route.parts)
    ]
    return int(LEASE_PER_TARGET * max(targets_ms, default=0))
