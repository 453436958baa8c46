"""The operators' port answers what is so, and refuses bad input with its place."""

from types import SimpleNamespace

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from comfreywharf.daemon.tests.operator_builders import (
    FakeQuarantine,
    ask,
    make_port,
    patch_order,
)
from comfreywharf.events import kind_by_name
from comfreywharf.records import UnknownRecord, key_hash
from comfreywharf.records.state import REMEMBERED_RECORDS

POSTS = ["/config", "/drain", "/undrain", "/quarantine/lift"]

json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 70) | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(["booking", "slices", "x"]), inner, max_size=2
        )
    ),
    max_leaves=6,
)


def test_owner_of_a_key_with_reason():
    """An operator is told who owns a key, since when, by which version, and why."""
    port, follower = make_port()
    query = f"service=booking&key_hash={key_hash(b'vesta')}"
    status, owner = ask(port, "GET", "/owner", query=query)
    assert status == 200
    assert (owner["owner"], owner["standby"]) == ("booking-1", "booking-2")
    assert (owner["since_offset"], owner["config_version"]) == (4, 1)
    assert owner["reason"] == "the planner of term 1 assigned it"


def test_reason_from_before_the_node_began_to_read():
    """Symptom: an operator is given an older move's reason for a slice's place.

    Sequence: the node folds a move, misses later ones, and starts again from a
    snapshot. Cause: the remembered reason belongs to another record.
    """
    port, follower = make_port()
    pieces = follower.state.slices["booking"]
    pieces.replace(attrs.evolve(pieces.at_start(0), epoch=99))
    _, owner = ask(port, "GET", "/owner", query="service=booking&key_hash=0")
    assert "before this node began" in owner["reason"]


def test_patch_is_acknowledged_after_it_was_read_back():
    """An accepted patch is in the state that answers, and in the history."""
    port, follower = make_port()
    status, answer = ask(port, "POST", "/config", patch_order())
    assert (status, answer["verdict"], answer["version"]) == (200, "accepted", 2)
    assert follower.state.config.services["booking"].queue_length == 7
    _, history = ask(port, "GET", "/config/history")
    assert [entry["version"] for entry in history] == [2, 1]
    assert "+   queue_length = 7" in history[0]["changes"]


def test_stale_patch_is_refused_with_what_changed():
    """Symptom: two operators' patches would be merged into what neither meant.

    Sequence: both build on version 1, one is accepted, the other arrives.
    Cause: a patch doesn't say which configuration it was made for.
    """
    port, follower = make_port()
    ask(port, "POST", "/config", patch_order())
    appended = len(follower.appended)
    status, answer = ask(port, "POST", "/config", patch_order(record_id="third"))
    assert (status, answer["verdict"]) == (409, "refused")
    assert answer["reason"] == "stale_version"
    assert answer["changed_since"] == [
        "version 2 by maris",
        "  [service booking]",
        "-   queue_length = 256",
        "+   queue_length = 7",
    ]
    assert len(follower.appended) == appended


@pytest.mark.parametrize("took_effect", [True, False])
def test_lost_answer_is_unknown_and_resolved_by_id(took_effect):
    """Symptom: an operator's tool reports a failure, and the patch is in force.

    Sequence: the record is appended, the log's answer is lost, the tool asks
    again. Cause: a lost answer says nothing of the write.
    """
    port, follower = make_port()
    follower.lost, follower.down = took_effect, not took_effect
    status, answer = ask(port, "POST", "/config", patch_order())
    query = "record_id=second&base_version=1"
    _, outcome = ask(port, "GET", "/config/outcome", query=query)
    if took_effect:
        assert (status, outcome["verdict"]) == (200, "accepted")
    else:
        assert (status, outcome["verdict"]) == (202, "unknown")
    # Asked again with the same id, the node appends no second copy of what it
    # has read back.
    follower.lost = follower.down = False
    ask(port, "POST", "/config", patch_order())
    assert follower.state.config.version == 2
    assert len(follower.appended) == (6 if took_effect else 7)


def test_record_that_was_never_sent_is_refused():
    """Where nothing left the node, the operator needn't ask again later."""
    port, follower = make_port()
    follower.down, follower.sent = True, False
    status, answer = ask(port, "POST", "/config", patch_order())
    assert (status, answer["verdict"], answer["reason"]) == (409, "refused", "not-sent")


def test_unseen_record_of_a_passed_version_is_refused():
    """A patch that the fold can only refuse isn't left as unknown."""
    port, follower = make_port()
    ask(port, "POST", "/config", patch_order())
    query = "record_id=never-seen&base_version=1"
    _, outcome = ask(port, "GET", "/config/outcome", query=query)
    assert (outcome["verdict"], outcome["reason"]) == ("refused", "stale_version")


def test_forgotten_outcome_stays_unknown():
    """Symptom: the author of the patch in force is told that it was refused.

    Sequence: a patch is accepted, its answer is lost, and so many records
    follow that its outcome is forgotten before its author asks. Cause: its base
    version has passed by its own acceptance.
    """
    port, follower = make_port()
    ask(port, "POST", "/config", patch_order())
    for number in range(REMEMBERED_RECORDS):
        follower.append(UnknownRecord(record_id=f"later-{number}", kind="later"))
    query = "record_id=second&base_version=1"
    _, outcome = ask(port, "GET", "/config/outcome", query=query)
    assert outcome["verdict"] == "unknown"


def test_lost_drain_is_not_taken_for_a_stale_patch():
    """Symptom: an operator is told that a drain was refused, and it is in force.

    Sequence: the drain's record reaches the log late, its author asks at once.
    Cause: only a patch is refused because a version has passed.
    """
    port, follower = make_port()
    follower.down = True
    order = {"node_id": "booking-1", "author": "ilze", "record_id": "a"}
    status, answer = ask(port, "POST", "/drain", order)
    assert (status, answer["submission"]["verdict"]) == (202, "unknown")
    _, outcome = ask(port, "GET", "/config/outcome", query="record_id=a")
    assert outcome["verdict"] == "unknown"


@pytest.mark.parametrize("path", ["/config", "/config/history", "/owner"])
def test_node_that_has_not_read_the_log(path):
    """Symptom: an operator's file is compared with an empty configuration.

    Sequence: a node starts, an operator asks it before it has read the log.
    Cause: a state that isn't complete looks like one that is.
    """
    port, follower = make_port()
    follower.usable = False
    status, answer = ask(port, "GET", path, query="service=booking&key_hash=0")
    assert status == 503
    assert "another node" in answer["error"]


def test_quarantine_is_listed_and_lifted_once():
    """A lifted request is no longer listed, and can't be lifted again."""
    port, _ = make_port()
    port._node.load = SimpleNamespace(quarantine=FakeQuarantine())
    _, [entry] = ask(port, "GET", "/quarantine")
    assert (entry["fingerprint"], entry["standing"]) == ("9f86", "condemned")
    order = {"fingerprint": "9f86", "author": "ilze"}
    assert ask(port, "POST", "/quarantine/lift", order)[0] == 200
    assert ask(port, "GET", "/quarantine") == (200, [])
    assert ask(port, "POST", "/quarantine/lift", order)[0] == 404


def test_events_after_a_sequence_number():
    """A tool that asks again gets only what it hasn't seen."""
    port, _ = make_port()
    for incarnation in (1, 2):
        fields = {field: incarnation for field in kind_by_name("node_started").fields}
        port._node.events.add("node_started", 7 << 16, fields)
    status, events = ask(port, "GET", "/events", query="since=1")
    assert (status, [event["sequence"] for event in events]) == (200, [2])


def test_drain_and_undrain():
    """A drain is acknowledged with what still has to move."""
    port, follower = make_port()
    order = {"node_id": "booking-1", "author": "ilze", "record_id": "a"}
    status, answer = ask(port, "POST", "/drain", order)
    assert (status, answer["draining"], answer["owned_slices"]) == (200, True, 2)
    status, answer = ask(port, "POST", "/undrain", order | {"record_id": "b"})
    assert (status, answer["draining"]) == (200, False)


@pytest.mark.parametrize(
    "order, expected",
    [
        (patch_order(services={"booking": {"slice": "2"}}), "booking.slice"),
        (patch_order(services={"booking": {"slices": "0"}}), "1 to 16384"),
        (patch_order(services={"booking": {"slices": 2}}), "found 2"),
        (patch_order(services={"../x": {}}), "a name of letters"),
        (patch_order(services={}), "at least one change"),
        (patch_order(base_version="1"), "a whole number"),
        (patch_order(base_version=True), "a whole number"),
        (patch_order(extra=1), "extra"),
        (patch_order(author=""), "author"),
        ({"author": "maris"}, "record_id"),
    ],
)
def test_faulty_patch_is_refused_with_its_place(order, expected):
    """Each fault of a patch is named, and nothing is appended."""
    port, follower = make_port()
    appended = len(follower.appended)
    status, answer = ask(port, "POST", "/config", order)
    assert status == 400
    assert expected in str(answer["wrong"])
    assert len(follower.appended) == appended


@pytest.mark.parametrize(
    "method, path, query, status",
    [
        ("GET", "/staus", "", 404),
        ("DELETE", "/config", "", 405),
        ("GET", "/owner", "", 400),
        ("GET", "/owner", "service=bookings&key_hash=1", 404),
        ("GET", "/owner", "service=booking&key_hash=-1", 400),
        ("GET", "/owner", f"service=booking&key_hash={1 << 63}", 400),
        ("GET", "/config", "version=9", 404),
        ("GET", "/config", "version=x", 400),
        ("GET", "/events", "since=x", 400),
    ],
)
def test_bad_question(method, path, query, status):
    """A bad question says what was found and what was expected."""
    port, _ = make_port()
    answered, document = ask(port, method, path, query=query)
    assert answered == status
    assert (
        "expected" in document["error"]
        or "declared are" in document["error"]
        or ("in force" in document["error"])
    )


def test_form_posts_are_refused():
    """Symptom: a patch that no operator sent.

    Sequence: an operator's browser shows a page that posts a form to the port.
    Cause: browsers let any page post forms anywhere.
    """
    port, follower = make_port()
    status, _ = ask(port, "POST", "/config", patch_order(), content_type="text/plain")
    assert (status, follower.state.config.version) == (415, 1)


@given(
    path=st.sampled_from(POSTS),
    body=st.binary(max_size=20)
    | st.dictionaries(
        st.sampled_from([*patch_order(), "node_id", "fingerprint", "note"]), json_values
    ),
)
@settings(derandomize=True, deadline=None)
def test_no_body_makes_the_port_fail(path, body):
    """Whatever is posted, the answer is an answer and not an internal error."""
    port, _ = make_port()
    status, _ = ask(port, "POST", path, body)
    assert status in (200, 202, 400, 404, 409)
