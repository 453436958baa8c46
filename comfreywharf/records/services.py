"""The configuration that operators declare: services and how to divide their keys."""

import attrs

__all__ = ["DEFAULT_RETRY_FRACTION", "Configuration", "ServiceConfig"]

DEFAULT_RETRY_FRACTION = 0.1
"""How many retries are allowed for each first send of a service."""


@attrs.frozen(kw_only=True)
class ServiceConfig:
    """One service, as an operator declares it in an INI file.

    ``default_timeout_ms`` applies to a request without a timeout of its own;
    ``longest_request_ms`` bounds the timeout of each request, and thereby how
    long a takeover may have to wait for a backend server that doesn't check
    fences. The two weights are relative to each other: a service with a higher
    weight of churn is rebalanced later and in fewer moves. ``longest_lease_ms`` bounds
    the leases of its owners, which are longer than usual if work takes long; zero
    means that they are never longer.
    """

    name: str
    divided_by_key: bool = True
    slices: int = 64
    default_timeout_ms: int = 800
    longest_request_ms: int = 5000
    unavailable_weight: float = 1.0
    churn_weight: float = 1.0
    queue_length: int = 256
    retry_fraction: float = DEFAULT_RETRY_FRACTION
    max_body_bytes: int = 1 << 30
    longest_lease_ms: int = 0


@attrs.frozen(kw_only=True)
class Configuration:
    """A numbered version of all services.

    ``version`` counts the accepted patches; zero is the empty configuration
    before the first patch. ``offset`` is that of its record in the log.
    """

    version: int = 0
    offset: int = -1
    author: str = ""
    note: str = ""
    services: dict[str, ServiceConfig] = attrs.Factory(dict)
