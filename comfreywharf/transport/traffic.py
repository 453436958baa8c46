"""Count the bytes of calls between nodes by direction, distance and kind of call.

Each call is counted at the node that makes it: what it sends, and the answer that it
receives. The sum over all nodes therefore has each byte once. Bytes are those of thrift
frames, without the headers of TCP and IP.
"""

from collections import defaultdict

import attrs

__all__ = ["KINDS", "PeerTraffic", "ignore_bytes"]

KINDS = {
    "forward": "requests",
    "open_upload": "requests",
    "write_upload": "requests",
    "finish_upload": "requests",
    "read_body": "requests",
    "cancel": "requests",
    "renew": "leases",
    "claim": "leases",
    "unclaim": "leases",
    "lapsed": "leases",
    "release": "leases",
    "exchange": "records",
    "report_load": "reports",
}
"""The kind of each call of the thrift interface ``Node``."""


def ignore_bytes(method, sent_bytes, received_bytes):
    """Count nothing, for clients outside of a node."""


@attrs.define
class PeerTraffic:
    """The bytes of a node's calls, by ``(direction, distance, kind)``.

    The distance is ``near`` for a node of the own failure domain. All others are
    ``far``, also a node of an unknown domain, for instance a seed.

    >>> traffic = PeerTraffic()
    >>> traffic.counter(near=True)("renew", 124, 66)
    >>> traffic.size_bytes[("sent", "near", "leases")]
    124
    """

    size_bytes: dict = attrs.Factory(lambda: defaultdict(int))

    def counter(self, near):
        """Return a function that counts the bytes of one call to a node."""
        distance = "near" if near else "far"
        size_bytes = self.size_bytes

        def count(method, sent_bytes, received_bytes):
            kind = KINDS[method]
            size_bytes["sent", distance, kind] += sent_bytes
            size_bytes["received", distance, kind] += received_bytes

        return count
