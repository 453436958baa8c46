"""The log down, slow, busy, truncated or losing answers; nodes cut from it."""

import gevent

from comfreywharf.records import DrainChanged, Refusal
from comfreywharf_dev.standins.fleet import LogFleet, make_patch, wait_for

SHORT_RETENTION = 30


def same_state(*nodes):
    return all(node.state == nodes[0].state for node in nodes)


def fill_log(fleet, node, count):
    """Append records that change nothing but the log's length."""
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


def test_racing_operators_are_told_rightly_when_answers_are_lost():
    """
    Symptom: the operator whose patch won is told that it failed, or both are
    told that they won.
    Sequence: two patches against version 0 are submitted through two nodes; the
    log loses the answers to both, after the writes took effect.
    Cause: the answer to the append was taken for the outcome, or a writer that
    got none wrote again under another id.
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


def test_busy_log_is_asked_again_when_it_said():
    """
    Symptom: 640 nodes keep a log busy by asking again at once.
    Sequence: the log takes one append a second and answers 429 to the next.
    Cause: Retry-After was ignored, or a refused append counted as failed.
    """
    with LogFleet(appends_per_s=1.0) as fleet:
        node = fleet.start("a", announce=False)
        assert node.follower.append(make_patch(0)).accepted
        assert node.follower.append(make_patch(1), timeout_s=20).accepted
        assert fleet.log.refused_appends == 1


def test_node_cut_from_the_log_hears_from_peers():
    """
    Symptom: a node that can't reach the log serves by an old configuration.
    Sequence: it starts cut off, knowing two seeds; then the configuration
    changes, and changes again.
    Cause: records came from the log alone.
    """
    with LogFleet() as fleet:
        peers = [fleet.start(name) for name in ("a", "b")]
        cut = fleet.start("c", cut=True, seeds=peers)
        for version in range(3):
            peers[0].follower.append(make_patch(version))
            wait_for(lambda wanted=version + 1: cut.state.config.version == wanted)
        assert not cut.follower.reachable
        assert not cut.follower.usable


def test_node_far_behind_takes_a_peers_snapshot():
    """
    Symptom: a node that starts during an outage of the log knows no members.
    Sequence: its peers came up from a snapshot themselves and don't keep the
    records before it.
    Cause: peers handed over records only.
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


def test_all_nodes_replaced_after_truncation():
    """
    Symptom: the configuration is back at version 0 after a rolling restart.
    Sequence: the log expires its oldest records, with them the configuration;
    then each node is replaced by one that knows nothing, one after another.
    Cause: no snapshot was written before the records expired, or it isn't used.
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


def test_gap_that_cannot_be_bridged_owns_nothing():
    """
    Symptom: a node that missed records owns keys that were given to others.
    Sequence: it is cut off while the log expires what it hasn't read, and no
    snapshot covers that; a node with the whole state comes later.
    Cause: the node went on with the state that it had.
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


def test_listener_that_fails_does_not_stop_the_fold():
    with LogFleet() as fleet:
        node = fleet.start("a")
        node.follower.subscribe(lambda record, result: 1 / 0)
        assert node.follower.append(make_patch(0)).accepted
        assert node.follower.append(make_patch(1)).accepted


def test_notice_reaches_every_node():
    """A notice is pushed on by who hears of it, and each node hears it once."""
    with LogFleet() as fleet:
        nodes = [fleet.start(f"n{number}") for number in range(6)]
        wait_for(lambda: all(len(node.state.members) == 6 for node in nodes))
        heard = []
        for node in nodes:
            node.notices.subscribe("suspect", heard.append)
        nodes[0].notices.publish("suspect", "fingerprint", 1.0, ttl_s=30.0)
        wait_for(lambda: len(heard) == 6)
        gevent.sleep(0.2)
        assert len(heard) == 6
        assert {notice.subject for notice in heard} == {"fingerprint"}


def test_telling_a_peer_that_is_gone_fails_quietly():
    """Guards against a traceback in the output for each peer that doesn't answer."""
    with LogFleet() as fleet:
        teller = fleet.start("a")
        gone = fleet.start("b")
        wait_for(lambda: "b" in teller.state.members)
        gone.stop()
        tellers = teller.gossip.push_to(["b"])
        gevent.joinall(tellers)
        assert [one.exception for one in tellers] == [None]
