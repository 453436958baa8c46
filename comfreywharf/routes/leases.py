"""The bounds on leases that follow from the operator's routes."""

__all__ = ["longest_leases_ms"]

LEASE_PER_TARGET = 2.5
"""The longest lease of a service's owners, in latency targets of its slowest route.
Work that takes longer is answered too late to be worth a longer wait after a loss."""


def longest_leases_ms(table):
    """Return the bound for the leases of each service's owners, in milliseconds.

    Services that aren't divided have no owners and are left out.
    """
    longest_ms = {s.name: 0 for s in table.services if s.divided_by_number}
    for route in table.routes:
        lease_ms = int(LEASE_PER_TARGET * route.latency_target_ms)
        for part in route.parts:
            if lease_ms > longest_ms.get(part.service, lease_ms):
                longest_ms[part.service] = lease_ms
    return longest_ms
