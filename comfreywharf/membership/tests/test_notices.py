"""Tests that notices are bounded in number, expire and are new only once."""

import attrs
from hypothesis import given, settings, strategies as st

from comfreywharf.membership.notices import ECHO_MARGIN_S, Notice, NoticeBoard

CAPACITY = 5


def make_notice(notice_id, expires_s):
    return Notice(
        notice_id=notice_id,
        kind="suspect",
        subject="fingerprint",
        value=1.0,
        expires_s=expires_s,
    )


adds = st.tuples(st.sampled_from("abcdefgh"), st.floats(0.1, 20.0), st.floats(0.0, 3.0))


@settings(derandomize=True, deadline=None)
@given(st.lists(adds, max_size=40))
def test_board_keeps_its_bounds(steps):
    """No id is new twice within the margin, and number and lifetime are bounded."""
    board, now_s, new_until_s = NoticeBoard(CAPACITY), 0.0, {}
    for notice_id, ttl_s, pause_s in steps:
        now_s += pause_s
        if board.add(make_notice(notice_id, now_s + ttl_s), now_s):
            assert now_s >= new_until_s.get(notice_id, now_s)
            new_until_s[notice_id] = now_s + ttl_s
        unexpired = board.unexpired(now_s)
        assert len(unexpired) <= CAPACITY
        assert all(notice.expires_s > now_s for notice in unexpired)


def test_an_expired_notice_is_not_accepted_again_from_a_peer():
    """Guard against a suspect that stays in quarantine forever.

    A notice expires at one node; a peer's copy expires a little later, because it
    was in transit for a while, and is sent back, and so on between the two. The
    ids of expired notices have to be compared as well.
    """
    board = NoticeBoard()
    notice = make_notice("a", expires_s=1.0)
    assert board.add(notice, now_s=0.0)
    assert board.unexpired(now_s=1.0) == []
    echo = attrs.evolve(notice, expires_s=1.2)
    assert not board.add(echo, now_s=1.1)
    later = attrs.evolve(notice, expires_s=2 + ECHO_MARGIN_S)
    assert board.add(later, now_s=1.5 + ECHO_MARGIN_S)
