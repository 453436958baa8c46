"""The bytes of the messages that nodes exchange while nothing happens.

These are sent many times per second by each node of a fleet. The bounds are a few bytes
above what was measured, so that a new field that costs something is noticed.
"""

import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from comfreywharf.daemon.ownership.lease_messages import renew_request
from comfreywharf.daemon.ownership.load_reports import load_report
from comfreywharf.ownership import Renewal
from comfreywharf.placement import NodeReport, SliceRate
from comfreywharf.transport.gen import Node
from comfreywharf.transport.gen.ttypes import (
    ExchangeReply,
    ExchangeRequest,
    GrantReply,
    LoadReportReply,
    Notice,
)

NODE_ID = "pricing-eu-1a-0017"
INCARNATION = 1 << 40
CLOCK = 1 << 57

MAX_BYTES = {"renew": (130, 70), "exchange": (165, 115), "report_load": (130, 60)}
"""The most bytes of a call without news, and of its answer."""

MAX_BYTES_OF_SLICE = 60
MAX_BYTES_OF_NOTICE = 100


def call_bytes(method, argument):
    """Return the bytes of the frame of a call."""
    buffer = TMemoryBuffer()
    client = Node.Client(TBinaryProtocolAccelerated(TFramedTransport(buffer)))
    getattr(client, f"send_{method}")(argument)
    return len(buffer.getvalue())


def answer_bytes(method, answer):
    """Return the bytes of the frame of an answer, which is encoded like a call's."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocolAccelerated(TFramedTransport(buffer))
    protocol.writeMessageBegin(method, 2, 7)
    getattr(Node, f"{method}_result")(success=answer).write(protocol)
    protocol.writeMessageEnd()
    protocol.trans.flush()
    return len(buffer.getvalue())


def make_renewal():
    return renew_request(
        Renewal(
            owner_id=NODE_ID,
            incarnation=INCARNATION,
            lease_epoch=12_345,
            portfolio_epoch=12_346,
            lease_s=0.9,
            reach_s=1.2,
            round=99,
            vouched=True,
        )
    )


def make_exchange(**fields):
    values = {
        "node_id": NODE_ID,
        "incarnation": INCARNATION,
        "next_offset": 5,
        "notices": [],
        "event_clock": CLOCK,
        "routes_version": 3,
        "wait_ms": 500,
        "host": "10.20.30.140",
        "peer_port": 7001,
        "routes_form": 2,
        **fields,
    }
    return ExchangeRequest(**values)


def make_report(slices=0, **fields):
    rates = SliceRate(service="pricing", start=1 << 60, requests_per_s=2.5)
    values = {
        "node_id": NODE_ID,
        "incarnation": INCARNATION,
        "slices": (rates,) * slices,
        "hot_keys": (),
        "busy_fraction": 0.5,
        "backend_up": True,
        "lease_held": True,
        "service_ms": 100.0,
        **fields,
    }
    return load_report(NodeReport(**values))


QUIET_CALLS = {
    "renew": make_renewal(),
    "exchange": make_exchange(evacuations_version=3),
    "report_load": make_report(),
}
QUIET_ANSWERS = {
    "renew": GrantReply(
        granted=True, term=1, retry_after_ms=0, reason="", event_clock=CLOCK
    ),
    "exchange": ExchangeReply(
        next_offset=5,
        records=b"",
        notices=[],
        event_clock=CLOCK,
        routes_version=3,
        routes=b"",
        log_age_ms=500,
        routes_age_ms=600,
        evacuations_version=3,
    ),
    "report_load": LoadReportReply(planning=True, term=4, event_clock=CLOCK),
}


@pytest.mark.parametrize("method", MAX_BYTES)
def test_messages_without_news_are_short(method):
    """Guards against control traffic that grows without anything to tell."""
    call, answer = MAX_BYTES[method]
    assert call_bytes(method, QUIET_CALLS[method]) <= call
    assert answer_bytes(method, QUIET_ANSWERS[method]) <= answer


def test_unset_fields_of_a_report_are_not_sent():
    """Guards against reports that name limits which no server has."""
    quiet = call_bytes("report_load", make_report())
    for field in ("cold_requests_per_s", "limit_per_s"):
        report = make_report(**{field: 4.0})
        assert call_bytes("report_load", report) == quiet + 11


def test_a_slice_in_a_report_and_a_notice_in_an_exchange_are_short():
    """Guards against a field that is sent once for each slice or notice."""
    slices = call_bytes("report_load", make_report(10)) - call_bytes(
        "report_load", make_report()
    )
    assert slices <= 10 * MAX_BYTES_OF_SLICE
    notice = Notice(
        notice_id="f" * 32, kind="suspect", subject=NODE_ID, value=1.0, remaining_ms=900
    )
    notices = call_bytes("exchange", make_exchange(notices=[notice] * 10))
    assert notices - call_bytes("exchange", make_exchange()) <= 10 * MAX_BYTES_OF_NOTICE
