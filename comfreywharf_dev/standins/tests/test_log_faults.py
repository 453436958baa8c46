"""Nodes with a faulty log: slow, busy, truncated, losing answers or cut off."""

import gevent

from comfreywharf.records import DrainChanged, Refusal
from comfreywharf_dev.standins.fleet import LogFleet, make_patch, wait_for

SHORT_RETENTION = 30


def same_state(*nodes):
    return all(node.state == nodes[0].state for node in nodes)


def fill_log(fleet, node, count):
    """Append records that change only the length of the log."""
    for number in range(count):
        record = DrainChanged(
            record_id=f"fill-{len(fleet.nodes)}-{node.state.next_offset}-{number}",
            node_id="nobody",
            draining=False,
            author="test",
        )
        fleet.log.append("comfreywharf", record)
        if number % 10 == 9:
            wait_for(lambda: node.state.next_offset == fleet.log.next("comfreywharf"))


def test_only_one_of_two_patches_is_accepted_when_answers_are_lost():
    """Exactly one of two patches is accepted though the answers are lost.

    Guards against using the answer to an append as its outcome, and against appending
    again under another id: the author of the accepted patch would be told that it
    failed, or both that they were accepted. Two patches of version 0 are submitted
    through two nodes; the log loses the answers to both after the writes took effect.
    """
    with LogFleet(lose_answers=4) as fleet:
        nodes = [fleet.start(name, announce=False) for name in ("a", "b")]
        calls = [gevent.spawn(node.follower.append, make_patch(0)) for node in nodes]
        outcomes = [call.get(timeout=20) for call in calls]
        wait_for(lambda: same_state(*nodes))
        assert sorted(outcome.accepted for outcome in outcomes) == [False, True]
        loser = next(outcome for outcome in outcomes if not outcome.accepted)
        assert loser.reason == Refusal.STALE_VERSION.value
        assert nodes[0].state.config.version == 1


def test_a_refused_append_is_repeated_after_retry_after():
    """An append that the log refuses with 429 is repeated after Retry-After.

    Guards against 640 nodes that overload the log with immediate retries, and against
    a refused append that counts as failed. The log accepts one append per second.
    """
    with LogFleet(appends_per_s=1.0) as fleet:
        node = fleet.start("a", announce=False)
        assert node.follower.append(make_patch(0)).accepted
        assert node.follower.append(make_patch(1), timeout_s=20).accepted
        assert fleet.log.refused_appends == 1


def test_a_node_cut_off_from_the_log_gets_records_from_peers():
    """A node that is cut off from the log gets new records from its peers.

    Guards against a node that serves with an outdated configuration because it gets
    records from the log only. The node starts cut off with two seeds, and the
    configuration changes three times.
    """
    with LogFleet() as fleet:
        peers = [fleet.start(name) for name in ("a", "b")]
        cut = fleet.start("c", cut=True, seeds=peers)
        for version in range(3):
            peers[0].follower.append(make_patch(version))
            wait_for(lambda wanted=version + 1: cut.state.config.version == wanted)
        assert not cut.follower.reachable
        assert not cut.follower.usable


def test_a_node_far_behind_loads_a_peers_snapshot():
    """A node that is cut off from the log loads the snapshot of a peer.

    Guards against peers that send records only: a node that starts during an outage of
    the log has no members if its peers started from a snapshot themselves and don't
    keep the records before it.
    """
    with LogFleet(retention_records=SHORT_RETENTION) as fleet:
        first = fleet.start("a")
        first.follower.append(make_patch(0))
        fill_log(fleet, first, 100)
        wait_for(lambda: first.state.snapshot_offset > 0)
        peer = fleet.start("b")
        cut = fleet.start("c", cut=True, seeds=[peer])
        wait_for(lambda: cut.state.next_offset == peer.state.next_offset)
        assert cut.state == peer.state and cut.state.config.version == 1


def test_configuration_survives_a_rolling_restart_after_truncation():
    """The configuration survives a rolling restart after the log was truncated.

    Guards against records that expire before a snapshot is written, and against a
    snapshot that isn't used: the configuration would be back at version 0. The log
    expires its oldest records, including the configuration, and each node is replaced
    in turn by one with empty state.
    """
    with LogFleet(retention_records=SHORT_RETENTION) as fleet:
        for name in ("a", "b", "c"):
            fleet.start(name)
        patch = make_patch(0)
        assert fleet.nodes["a"].follower.append(patch).accepted
        for version, name in enumerate(("a", "b", "c"), start=1):
            survivor = fleet.nodes["b" if name == "a" else "a"]
            fill_log(fleet, survivor, 20)
            wait_for(
                lambda node=survivor: (
                    node.state.snapshot_offset >= fleet.log.first("comfreywharf")
                )
            )
            node = fleet.replace(name)
            assert node.state.config.version == version
            patch = make_patch(version, queue_length=version)
            assert node.follower.append(patch).accepted
        assert fleet.log.first("comfreywharf") > 5
        wait_for(lambda: same_state(*fleet.nodes.values()))
        assert fleet.nodes["a"].state.config.version == 4


def test_a_node_with_a_gap_is_unusable_until_a_snapshot_covers_it():
    """A node with a gap in its records is unusable until a snapshot covers the gap.

    Guards against a node that continues with its old state and owns keys that were
    assigned to others. The log expires records that the node hasn't read before a
    snapshot covers them; a peer with the whole state writes one later.
    """
    with LogFleet(retention_records=SHORT_RETENTION) as fleet:
        writer = fleet.start("a", snapshots=False)
        writer.follower.append(make_patch(0))
        fill_log(fleet, writer, 2 * SHORT_RETENTION)
        late = fleet.start("b", announce=False, seeds=[], snapshots=False)
        wait_for(lambda: late.events_named("log_gap"))
        assert late.follower.gap and not late.follower.usable
        writer.write_snapshots()
        wait_for(lambda: late.follower.usable)
        assert late.state == writer.state


def test_a_failing_listener_does_not_stop_the_fold():
    with LogFleet() as fleet:
        node = fleet.start("a")
        node.follower.subscribe(lambda record, result: 1 / 0)
        assert node.follower.append(make_patch(0)).accepted
        assert node.follower.append(make_patch(1)).accepted


def test_a_notice_reaches_every_node_once():
    """Each node that receives a notice forwards it, and each receives it once."""
    with LogFleet() as fleet:
        nodes = [fleet.start(f"n{number}") for number in range(6)]
        wait_for(lambda: all(len(node.state.members) == 6 for node in nodes))
        notices_received = []
        for node in nodes:
            node.notices.subscribe("suspect", notices_received.append)
        nodes[0].notices.publish("suspect", "fingerprint", 1.0, ttl_s=30.0)
        wait_for(lambda: len(notices_received) == 6)
        gevent.sleep(0.2)
        assert len(notices_received) == 6
        assert {notice.subject for notice in notices_received} == {"fingerprint"}


def test_pushing_to_a_stopped_peer_raises_nothing():
    """Guards against a traceback in the log for each peer that doesn't answer."""
    with LogFleet() as fleet:
        sender = fleet.start("a")
        gone = fleet.start("b")
        wait_for(lambda: "b" in sender.state.members)
        gone.stop()
        push_greenlets = sender.gossip.push_to(["b"])
        gevent.joinall(push_greenlets)
        assert [one.exception for one in push_greenlets] == [None]
