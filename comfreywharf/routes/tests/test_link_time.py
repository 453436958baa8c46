"""How long a version takes over slow links, in virtual time.

The tree of relays and the sizes of updates are the product's; links and processors are
modelled. A relay sends to one member after another, each the newest version it has.
"""

import attrs

from comfreywharf.daemon.requests.routes import Routes
from comfreywharf.membership.relays import Relays
from comfreywharf.routes import UpdateForm
from comfreywharf.routes.codec import encode_table
from comfreywharf.routes.tests.builders import make_route, make_table

NODES = tuple(f"node-{number}" for number in range(195))
DOMAIN = "teika"
LINK_BYTES_PER_S = 10e6 / 8
STEP_S = 0.01
APPLY_S = 0.1
"""Time from the arrival of an update to its being in force, on 0.43 of a core."""

GROWTH = 2000
VERSION_GAP_S = 0.33
IN_FORCE_WITHIN_S = 2.0


def members_by_relay():
    """Return the members that receive from each node; the root receives from ``""``."""
    members = {}
    for node_id in NODES:
        relays = Relays(node_id, DOMAIN, max_age_s=1.5)
        relay_id = relays.choose(dict.fromkeys(NODES, DOMAIN), 0.0)
        members.setdefault(relay_id, []).append(node_id)
    return members


@attrs.define
class Relay:
    """A node's sending side: members in the order of their turn, and its link."""

    members: list
    busy_until_s: float = 0.0

    def next_behind(self, version, sent):
        """Return the member whose turn it is to get a version, or ``None``."""
        behind = [member for member in self.members if sent[member] < version]
        if not behind:
            return None
        self.members.remove(behind[0])
        self.members.append(behind[0])
        return behind[0]


def in_force_s(read_s, size_of):
    """Return when the newest version is in force at the last node.

    ``read_s`` has the time at which the root reads each version, in their order; the
    first is in force everywhere. ``size_of`` gives the bytes from one version to
    another.
    """
    members = members_by_relay()
    (root,) = members[""]
    versions = list(read_s)
    newest = versions[-1]
    have = dict.fromkeys(NODES, versions[0])
    sent = dict(have)
    relays = {n: Relay(list(members[n])) for n in NODES if n in members}
    arrivals = [(at_s, root, version) for version, at_s in read_s.items()]
    step = 0
    while min(have.values()) < newest:
        step += 1
        now_s = step * STEP_S
        for arrival in [entry for entry in arrivals if entry[0] <= now_s]:
            arrivals.remove(arrival)
            have[arrival[1]] = max(have[arrival[1]], arrival[2])
        for node_id, relay in relays.items():
            while relay.busy_until_s <= now_s:
                member = relay.next_behind(have[node_id], sent)
                if member is None:
                    break
                size_bytes = size_of(sent[member], have[node_id])
                start_s = max(relay.busy_until_s, now_s)
                relay.busy_until_s = start_s + size_bytes / LINK_BYTES_PER_S
                arrivals.append((relay.busy_until_s + APPLY_S, member, have[node_id]))
                sent[member] = have[node_id]
    return step * STEP_S


def growing_tables(versions):
    """Return tables by version; the second adds `GROWTH` routes, each further one."""
    routes = tuple(make_route(f"r{n}", prefix=f"/r{n}/") for n in range(40))
    tables = {1: make_table(version=1, routes=routes)}
    added = tuple(make_route(f"n{n}", prefix=f"/n{n}/") for n in range(GROWTH))
    for version in range(2, versions + 1):
        routes = (
            (*routes, *added) if version == 2 else (*routes, make_route(f"v{version}"))
        )
        tables[version] = make_table(version=version, routes=routes)
    return tables


def update_sizes(tables):
    """Return the sizes of the product's updates from one version to another."""
    sizes = {}
    routes = Routes()
    for version, table in tables.items():
        routes.apply(table)
        for base in range(1, version):
            sizes[base, version] = len(routes.update_after(base, UpdateForm.DELTA))
    return lambda base, version: sizes[base, version]


def whole_sizes(tables):
    """Return the sizes of uncompressed tables."""
    sizes = {version: len(encode_table(table)) for version, table in tables.items()}
    return lambda base, version: sizes[version]


def test_a_version_with_2000_more_routes_is_in_force_everywhere_within_two_seconds():
    """Guards against nodes on an old version since links are full of tables."""
    tables = growing_tables(2)
    read_s = {1: 0.0, 2: 0.0}
    assert in_force_s(read_s, update_sizes(tables)) <= IN_FORCE_WITHIN_S
    assert in_force_s(read_s, whole_sizes(tables)) > 2 * IN_FORCE_WITHIN_S


def test_versions_in_quick_succession_dont_delay_the_last_one():
    """Guards against versions that queue up behind each other on the links."""
    tables = growing_tables(6)
    read_s = {v: (v - 2) * VERSION_GAP_S for v in tables}
    last_read_s = read_s[6]
    in_force = in_force_s(read_s, update_sizes(tables))
    assert in_force - last_read_s <= IN_FORCE_WITHIN_S
    assert in_force_s(read_s, whole_sizes(tables)) - last_read_s > IN_FORCE_WITHIN_S
