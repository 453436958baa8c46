"""Tests that routing terminates and resends only requests that didn't run."""

import attrs
from hypothesis import given, settings, strategies as st

from comfreywharf.routing import (
    BurstTerms,
    GiveUp,
    Hold,
    Outcome,
    Ownership,
    Reason,
    RetryBudget,
    RouteLimits,
    RouteProgress,
    Send,
    after_hold,
    decide_route,
    verdict_of,
)

LIMITS = RouteLimits()
RETRIES = 2
MAX_SENDS = (
    (LIMITS.holds + 1) * LIMITS.nodes_between_holds + RETRIES + LIMITS.unreached_members
)

nodes = st.sampled_from(["", "a", "b", "c", "d"])
ownerships = st.builds(Ownership, owner=nodes, standby=nodes, previous=nodes)


@attrs.frozen
class Refused:
    """The fields of a reply that `decide_route` reads."""

    reason: str
    outcome: Outcome
    owner_hint: str = ""
    backend_reached: bool | None = None


def refused(reason, owner_hint=""):
    return Refused(reason.value, verdict_of(reason).outcome, owner_hint)


replies = st.builds(
    Refused,
    st.sampled_from([reason.value for reason in Reason]),
    st.sampled_from(list(Outcome)),
    nodes,
)
replies_without_owner = st.builds(
    refused,
    st.sampled_from(
        [
            Reason.WRONG_OWNER,
            Reason.NOT_YET_OWNER,
            Reason.NO_BACKEND,
            Reason.PEER_UNREACHABLE,
        ]
    ),
    nodes,
)


def decide(progress, reply, ownership, now_s=0.0, deadline_s=100.0, **facts):
    chosen = {"other_member": "", "replayable": True, **facts}
    return decide_route(
        progress,
        reply,
        ownership=ownership,
        now_s=now_s,
        deadline_s=deadline_s,
        limits=LIMITS,
        **chosen,
    )


@settings(derandomize=True, deadline=None)
@given(st.data(), st.booleans())
def test_routing_always_terminates(data, divided_by_key):
    """The number of sends and the time are bounded for any replies and hints.

    Guards against following every hint: while a slice moves, two nodes may each
    consider the other its owner, and a request would be forwarded between them
    until its deadline.
    """
    progress = RouteProgress(target=data.draw(nodes), retries_left=RETRIES)
    now_s, sends = 0.0, 1
    while True:
        reply = data.draw(replies_without_owner if divided_by_key else replies)
        ownership = data.draw(ownerships) if divided_by_key else None
        step = decide(progress, reply, ownership, now_s, other_member="other")
        if isinstance(step, GiveUp):
            break
        assert reply.outcome == Outcome.NOT_RUN
        progress = step.progress
        if isinstance(step, Hold):
            assert now_s < step.until_s <= LIMITS.total_hold_s
            now_s = step.until_s
            progress = after_hold(progress, ownership)
        sends += 1
        assert sends <= MAX_SENDS
    assert now_s <= LIMITS.total_hold_s


@settings(derandomize=True, deadline=None)
@given(replies, st.one_of(st.none(), ownerships), st.booleans())
def test_only_requests_that_did_not_run_are_sent_again(reply, ownership, replayable):
    """A request of unknown outcome, or without its whole body, isn't sent again."""
    progress = RouteProgress(target="a", retries_left=RETRIES)
    step = decide(progress, reply, ownership, other_member="b", replayable=replayable)
    if not isinstance(step, GiveUp):
        assert replayable and reply.outcome == Outcome.NOT_RUN


def test_a_wrong_route_is_corrected_in_one_hop():
    """The owner hint of the refusing node is followed immediately."""
    step = decide(
        RouteProgress(target="a", retries_left=0),
        refused(Reason.WRONG_OWNER, "b"),
        Ownership(owner="a"),
    )
    assert isinstance(step, Send) and step.progress.target == "b"


def test_a_request_goes_to_a_lost_owners_standby_before_the_fold_changes():
    """While the log is unavailable, the fold keeps naming the lost owner."""
    step = decide(
        RouteProgress(target="a", retries_left=0),
        refused(Reason.PEER_UNREACHABLE),
        Ownership(owner="a", standby="b"),
    )
    assert isinstance(step, Send) and step.progress.target == "b"


def test_a_request_is_not_held_beyond_its_deadline():
    """A request isn't held if the hold would end after its deadline."""
    step = decide(
        RouteProgress(target="a", retries_left=0),
        refused(Reason.NOT_YET_OWNER),
        Ownership(owner="a"),
        deadline_s=LIMITS.first_hold_s,
    )
    assert isinstance(step, GiveUp)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.booleans(), max_size=400), st.floats(0, 0.5))
def test_retries_stay_under_their_fraction(sends_are_retries, fraction):
    """Retries never exceed the declared fraction of the first sends."""
    budget = RetryBudget(BurstTerms(fleet_retries=40.0, window_s=10.0), now_s=0.0)
    firsts = retries = 0
    for retry in sends_are_retries:
        if retry:
            retries += budget.take()
        else:
            firsts += 1
            budget.earn(fraction)
        assert retries <= firsts * fraction + 1e-6


def test_a_request_that_its_owners_server_refused_is_sent_there_again():
    """Guard against giving up because no other server may serve the key.

    A server that refuses half of the requests for which it has slots would
    otherwise make half of them fail, although the next try may be served.
    """
    limits = RouteLimits(resends=2)
    progress, sends = RouteProgress(target="a", retries_left=0), 0
    reply = refused(Reason.REFUSED_BY_BACKEND)
    while isinstance(step := decide_at_owner(progress, reply, limits), Send):
        assert step.retry and step.progress.target == "a"
        progress, sends = step.progress, sends + 1
    assert isinstance(step, GiveUp) and sends == 2
    unknown = attrs.evolve(reply, outcome=Outcome.UNKNOWN)
    assert isinstance(
        decide_at_owner(RouteProgress(target="a", retries_left=0), unknown, limits),
        GiveUp,
    )


def test_each_send_after_a_server_refused_is_a_retry():
    """Guards against sends that follow a server's refusal of a key and aren't counted.

    Nodes that refuse the request meanwhile, and holds, change nothing about that.
    """
    ownership = Ownership(owner="a", standby="b")
    progress = RouteProgress(target="a", retries_left=0)
    by_server = attrs.evolve(refused(Reason.NOT_YET_OWNER), backend_reached=True)
    step = decide(progress, by_server, ownership)
    assert isinstance(step, Send) and step.retry
    by_node = attrs.evolve(refused(Reason.WRONG_OWNER), backend_reached=False)
    step = decide(step.progress, by_node, ownership)
    assert isinstance(step, Hold) and step.retry
    progress = after_hold(step.progress, ownership)
    assert progress.is_retry and progress.arrivals == 1


@settings(derandomize=True, deadline=None)
@given(nodes_reached=st.lists(st.booleans(), max_size=6))
def test_sends_are_retries_from_the_first_arrival_on(nodes_reached):
    """Refusals made before a server was reached cost no retry."""
    progress = RouteProgress(target="a", retries_left=0)
    arrivals = 0
    for reached in nodes_reached:
        reply = attrs.evolve(refused(Reason.NOT_YET_OWNER), backend_reached=reached)
        arrivals += reached
        step = decide(progress, reply, Ownership(owner="a", standby="b"))
        assert step.retry == (arrivals > 0)
        progress = step.progress


def decide_at_owner(progress, reply, limits):
    return decide_route(
        progress,
        reply,
        ownership=Ownership(owner="a", standby="b"),
        other_member="",
        replayable=True,
        now_s=0.0,
        deadline_s=1.0,
        limits=limits,
    )


def test_unavailable_members_use_up_no_retry():
    """Guard against spending the only retry where no server received the request.

    If two of a service's three machines are lost, a third of the requests try
    both of them, and would be refused although the third server has capacity.
    """
    progress = RouteProgress(target="a", retries_left=0)
    gone = refused(Reason.PEER_UNREACHABLE)
    for number in range(LIMITS.unreached_members):
        step = decide(progress, gone, None, other_member=f"m{number}")
        assert isinstance(step, Send)
        assert not step.retry
        progress = step.progress
    assert isinstance(decide(progress, gone, None, other_member="m"), GiveUp)
    full = refused(Reason.OVERLOADED)
    passed_on = attrs.evolve(progress, passes=RouteLimits().passes)
    assert isinstance(decide(passed_on, full, None, other_member="m"), GiveUp)


def test_a_full_member_passes_a_request_on_a_few_times():
    """Guards against requests that wait at one server while others have free slots.

    No server was reached, so that none of it is a retry."""
    full = refused(Reason.OVERLOADED)
    progress = RouteProgress(target="m0", retries_left=0)
    for number in range(RouteLimits().passes):
        step = decide(progress, full, None, other_member=f"m{number + 1}")
        assert isinstance(step, Send) and not step.retry
        progress = step.progress
        assert progress.target == f"m{number + 1}"
    assert RouteLimits().max_wait_ms(progress.passes, 1000) is None
    assert isinstance(decide(progress, full, None, other_member="m9"), GiveUp)


def test_a_request_waits_at_the_only_member():
    """Guards against a refusal by a short queue where no other server could serve."""
    full = refused(Reason.OVERLOADED)
    progress = RouteProgress(target="m0", retries_left=0)
    step = decide(progress, full, None, other_member="")
    assert isinstance(step, Send) and step.progress.target == "m0"
    assert RouteLimits().max_wait_ms(step.progress.passes, 1000) is None
    assert isinstance(decide(step.progress, full, None, other_member=""), GiveUp)
