"""Check a node, its log, backend server, lease and peers, and advise on failures."""

import gevent
from gevent import socket
from gevent.pool import Pool

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.connections.http import SingleSendClient
from comfreywharf.daemon.operating.documents import CheckDocument, DoctorDocument
from comfreywharf.daemon.records.logclient import LogClient, LogError, LogTruncated

__all__ = ["diagnose"]

PROBE_TIMEOUT_S = 1.0
MAX_PROBE_BYTES = 64 * 1024
MAX_PROBED_PEERS = 32
MAX_FOLD_LAG = 1000
"""More records behind the log's end than this fail the check of the log."""
CONCURRENT_PROBES = 16
LEASE_HELD = "held"


def diagnose(node):
    """Run all checks of a node and return its `DoctorDocument`.

    This takes a few seconds at most.
    """
    checks = [
        _check_log(node),
        _check_configuration(node),
        _check_backend(node),
        _check_lease(node),
        *_check_peers(node),
    ]
    return DoctorDocument(node_id=node.settings.node_id, checks=tuple(checks))


def _check_log(node):
    address = node.settings.log
    client = LogClient(address.host, address.port, timeout_s=PROBE_TIMEOUT_S)
    start = node.follower.state.next_offset
    start_s = boottime_s()
    try:
        batch = client.read(node.settings.log_stream, start, limit=1)
    except LogTruncated as error:
        return CheckDocument(
            name="log",
            well=False,
            found=f"records below {error.first} have expired, {start} is wanted",
            advice="the node owns nothing until it has read a snapshot",
        )
    except LogError as error:
        return CheckDocument(
            name="log",
            well=False,
            found=str(error),
            advice=f"is the log service at {address.host}:{address.port} up?",
        )
    took_ms = (boottime_s() - start_s) * 1000
    lag = batch.next - start
    return CheckDocument(
        name="log",
        well=lag <= MAX_FOLD_LAG,
        found=f"answers in {took_ms:.1f} ms, {lag} records behind, "
        f"{start - batch.first} kept before",
        advice="" if lag <= MAX_FOLD_LAG else "is the node short of processor time?",
    )


def _check_configuration(node):
    config = node.follower.state.config
    return CheckDocument(
        name="configuration",
        well=config.version > 0,
        found=f"version {config.version} with {len(config.services)} services",
        advice="" if config.version else "submit one: comfreywharf config submit",
    )


def _check_backend(node):
    if node.backend is None:
        return CheckDocument(
            name="backend server",
            well=False,
            found="none has announced itself",
            advice=f"does it post to 127.0.0.1:{node.settings.backend_port}/announce?",
        )
    announcement = node.backend.announcement
    name = f"{announcement.name} at {announcement.host}:{announcement.port}"
    client = SingleSendClient(
        announcement.host,
        announcement.port,
        concurrency=1,
        connect_timeout_s=PROBE_TIMEOUT_S,
    )
    try:
        with gevent.Timeout(PROBE_TIMEOUT_S):
            response = client.request("GET", "/health")
            response.read_whole(MAX_PROBE_BYTES)
        found = f"{name}: health answers {response.status_code}"
        well = response.status_code == 200
    except (gevent.Timeout, OSError, ValueError) as error:
        found, well = f"{name}: {error}", False
    finally:
        client.close()
    advice = "" if well else "look at the backend server's own log"
    return CheckDocument(name="backend server", well=well, found=found, advice=advice)


def _check_lease(node):
    member = node.follower.state.members.get(node.settings.node_id)
    if member is None:
        return CheckDocument(
            name="lease",
            well=False,
            found="the node isn't in the log yet",
            advice="it announces itself once its backend server has",
        )
    phase = node.leases.holder.phase
    well = phase == LEASE_HELD
    advice = "" if well else "the node serves no keys; can it reach its witnesses?"
    found = f"{phase}, started at offset {member.lease_epoch}"
    return CheckDocument(name="lease", well=well, found=found, advice=advice)


def _check_peers(node):
    members = [
        member
        for _, member in sorted(node.follower.state.members.items())
        if member.node_id != node.settings.node_id
    ]
    pool = Pool(CONCURRENT_PROBES)
    return pool.map(_check_peer, members[:MAX_PROBED_PEERS])


def _check_peer(member):
    address = (member.host, member.peer_port)
    start_s = boottime_s()
    try:
        socket.create_connection(address, timeout=PROBE_TIMEOUT_S).close()
    except OSError as error:
        return CheckDocument(
            name=f"peer {member.node_id}",
            well=False,
            found=f"{member.host}:{member.peer_port}: {error}",
            advice="is the node up, and may this node connect to its peer port?",
        )
    took_ms = (boottime_s() - start_s) * 1000
    found = f"connects in {took_ms:.1f} ms"
    return CheckDocument(name=f"peer {member.node_id}", well=True, found=found)
