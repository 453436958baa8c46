"""The settings of a node as typed values."""

import attrs

__all__ = ["Address", "NodeSettings"]


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int


@attrs.frozen(kw_only=True)
class NodeSettings:
    """The settings of a node: its identity, its ports, its log and its seeds.

    ``seeds`` are the peer addresses of some other nodes; the log holds everything
    else about other nodes. ``backend_port`` listens on loopback only.
    ``drift_per_mille`` bounds how much faster one machine's clock runs than
    another's. ``advertised_peer_port`` is the port at which other nodes reach the
    peer port, if address translation changes it; 0 stands for ``peer_port``. With
    ``choose_by_load``, servers of services that aren't divided by key are chosen by the
    load that their nodes tell. ``fleet_admission`` is as in `Ports`.
    With ``place_by_work``, slices weigh the slot time that their requests need.
    ``caller_memory_mb``, ``caller_connections`` and ``caller_requests`` bound what all
    callers take together, as `CallerBounds` does.
    """

    node_id: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    backend_port: int
    failure_domain: str
    region: str
    log: Address
    log_stream: str = "comfreywharf"
    seeds: tuple[Address, ...] = ()
    lease_ms: int = 1000
    drift_per_mille: int = 5
    advertised_peer_port: int = 0
    choose_by_load: bool = False
    fleet_admission: bool = False
    place_by_work: bool = False
    caller_memory_mb: int = 128
    caller_connections: int = 4096
    caller_requests: int = 2048
