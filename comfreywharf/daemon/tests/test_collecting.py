"""A few bodies that follow their requests are collected at a time."""

import contextlib

import gevent
import pytest

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import BodyError, Upload
from comfreywharf.daemon.requests.collecting import BodyCollectionLimiter, collect

BODY = b"garment"
PATIENCE_S = 20.0


def enter(limiter):
    """Return the stack that has the room of one body."""
    stack = contextlib.ExitStack()
    stack.enter_context(limiter.permit(boottime_s() + PATIENCE_S))
    return stack


def test_room_is_had_by_so_many_at_a_time_and_given_on():
    """Guards against room that is lost with a request that was refused."""
    limiter = BodyCollectionLimiter(limit=2)
    first, second = enter(limiter), enter(limiter)
    third = gevent.spawn(enter, limiter)
    gevent.sleep(0)
    assert limiter.waiting == 1
    first.close()
    third.get(timeout=PATIENCE_S)
    assert not limiter.waiting
    second.close()


def test_a_request_without_room_by_its_deadline_has_not_run():
    """Guards against requests that wait for room beyond their deadline."""
    limiter = BodyCollectionLimiter(limit=1)
    with enter(limiter), pytest.raises(BodyError):
        with limiter.permit(boottime_s()):
            pass
    assert not limiter.waiting


def test_a_body_is_asked_for_when_it_is_collected_and_not_before():
    """Guards against bodies that are sent though nobody wants them."""
    upload = Upload()
    demand = gevent.spawn(upload.await_demand)
    gevent.sleep(0)
    assert not demand.ready()
    collected = gevent.spawn(collect, upload, len(BODY), boottime_s() + PATIENCE_S)
    assert demand.get(timeout=PATIENCE_S)
    upload.put(BODY)
    upload.put(None)
    assert collected.get(timeout=PATIENCE_S) == BODY


def test_a_body_that_breaks_off_is_not_taken_for_a_shorter_one():
    """Guards against a part of a body that a server runs."""
    upload = Upload()
    gevent.spawn(upload.put, BODY[:3])
    gevent.spawn(upload.put, None)
    with pytest.raises(BodyError):
        collect(upload, len(BODY), boottime_s() + PATIENCE_S)
