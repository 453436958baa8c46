"""Report this node's load to the planner; missing replies show the planner's loss."""

import math
import random

from gevent.event import Event

from comfreywharf.clock import boottime_s
from comfreywharf.placement import (
    HotKeyRate,
    NodeReport,
    SliceMeter,
    SliceRate,
    rates_per_report,
    report_delay_s,
)
from comfreywharf.placement.terms import ReportAnswered, ReportFailed
from comfreywharf.placement.work import KindTime, KindTimes
from comfreywharf.records import (
    PlannerTermStarted,
    SlicesMerged,
    SlicesMoved,
    SliceSplit,
    SlicesTaken,
)
from comfreywharf.transport import CallError
from comfreywharf.transport.gen.ttypes import (
    HotKey,
    KindTime as KindTimeMessage,
    LoadReport,
    SliceLoad,
)

__all__ = ["LoadReports", "load_report", "node_report"]

REPORT_TIMEOUT_S = 1.0

_SLICE_RECORDS = (SliceSplit, SlicesMerged, SlicesMoved, SlicesTaken)


class LoadReports:
    """Count this node's requests by slice and report their rates.

    ``hot_keys()`` returns ``(service, key_hash, requests_per_s)`` of the keys that
    are hot on this node, ``busy_fraction()`` the fraction of slots in use,
    ``service_ms()`` the time that a request takes, ``cold_requests_per_s()`` what
    the backend server bears while it is cold, ``limit_per_s()`` the limit that it
    names, and ``kind_times()`` the `ServiceTimes` of each kind of request. `Node` sets
    these functions.
    """

    def __init__(self, node):
        self.hot_keys = tuple
        self.busy_fraction = float
        self.service_ms = float
        self.cold_requests_per_s = lambda: None
        self.limit_per_s = lambda: None
        self.kind_times = dict
        self._node = node
        self._node_id = node.settings.node_id
        placement = node.ports.placement
        self._by_work = placement.by_work
        self._meter = SliceMeter(placement.smoothing_s, by_work=self._by_work)
        self._work_times = KindTimes()
        self._reported_term = -1
        self._term_started = Event()
        self._random = random.Random(f"{self._node_id} {node.incarnation}")
        node.follower.subscribe(self._on_folded)

    def count(self, right):
        """Count a request for its slice, unless its `Right` is a refusal."""
        if right.reason is None and right.slice_start >= 0:
            self._meter.count(right.service, right.slice_start)

    def count_work(self, right, kind):
        """Count the slot time that a request of a kind needs, where slices weigh it."""
        if self._by_work and right.slice_start >= 0:
            work_s = self._work_times.work_s(kind)
            self._meter.count_work(right.service, right.slice_start, work_s)

    def run(self):
        """Report until the greenlet is killed."""
        self._node.follower.caught_up.wait()
        while True:
            term_started = self._term_started.is_set()
            self._term_started.clear()
            members = len(self._node.follower.state.members)
            min_interval_s = self._node.ports.placement.report_s
            delay_s = report_delay_s(
                members, term_started, self._random, min_interval_s
            )
            if not self._term_started.wait(delay_s):
                self._report_load(boottime_s())

    def _on_folded(self, record, result):
        if result.accepted and isinstance(record, PlannerTermStarted):
            self._term_started.set()
        if self._by_work and result.accepted and isinstance(record, _SLICE_RECORDS):
            self._set_owned(boottime_s())

    def _set_owned(self, now_s):
        owned = self._node.follower.state.owned_by(self._node_id)
        self._meter.set_owned(owned, now_s if self._by_work else None)

    def _report_load(self, now_s):
        state = self._node.follower.state
        if self._by_work:
            self._work_times.sample(self.kind_times())
        self._set_owned(now_s)
        self._meter.close_window(now_s)
        planner_id = state.planner_id
        if self._node_id not in state.members or not planner_id:
            return
        term = state.planner_term
        report = self._make_report(everything=term != self._reported_term)
        if planner_id == self._node_id:
            planning = self._node.planner.receive_report(report, now_s)
        else:
            planning = self._send(planner_id, report)
        self._reported_term = term if planning else -1

    def _make_report(self, everything):
        return NodeReport(
            node_id=self._node_id,
            incarnation=self._node.incarnation,
            slices=self._slice_rates(everything),
            hot_keys=tuple(
                HotKeyRate(service=service, key_hash=value, requests_per_s=rate)
                for service, value, rate in self.hot_keys()
            ),
            busy_fraction=self.busy_fraction(),
            backend_up=self._node.backend is not None,
            lease_held=self._node.leases.holds_lease(),
            service_ms=self.service_ms(),
            cold_requests_per_s=self.cold_requests_per_s(),
            limit_per_s=self.limit_per_s(),
            kind_times=self._work_times.times_to_report(everything)
            if self._by_work
            else None,
        )

    def _slice_rates(self, everything):
        if everything:
            return self._meter.all_rates()
        members = len(self._node.follower.state.members)
        return self._meter.changed_rates(rates_per_report(members))

    def _send(self, planner_id, report):
        """Send a report and return whether the receiver is the planner."""
        client = self._node.peers.client(planner_id)
        event = ReportFailed(planner_id=planner_id)
        if client is not None:
            message = load_report(report)
            try:
                reply = client.call("report_load", message, timeout_s=REPORT_TIMEOUT_S)
            except CallError:
                pass
            else:
                event = ReportAnswered(planner_id=planner_id, planning=reply.planning)
        self._node.planner.handle_report_result(event, boottime_s())
        return isinstance(event, ReportAnswered) and event.planning


def load_report(report):
    """Return the message of a `NodeReport`."""
    return LoadReport(
        node_id=report.node_id,
        incarnation=report.incarnation,
        slices=[
            SliceLoad(
                service_name=entry.service,
                slice_start=entry.start,
                slice_epoch=entry.epoch,
                requests_per_s=entry.requests_per_s,
                busy_fraction=0.0,
                slots_needed=entry.slots_needed,
            )
            for entry in report.slices
        ],
        hot_keys=[
            HotKey(
                service_name=entry.service,
                key_hash=entry.key_hash,
                requests_per_s=entry.requests_per_s,
            )
            for entry in report.hot_keys
        ],
        busy_fraction=report.busy_fraction,
        backend_up=report.backend_up,
        lease_held=report.lease_held,
        event_clock=0,
        service_ms=report.service_ms,
        cold_requests_per_s=report.cold_requests_per_s,
        limit_per_s=report.limit_per_s,
        kind_times=_kind_time_messages(report.kind_times),
    )


def _kind_time_messages(kind_times):
    if kind_times is None:
        return None
    return [
        KindTimeMessage(
            priority=entry.priority,
            repeatable=entry.repeatable,
            typical_ms=entry.typical_ms,
        )
        for entry in kind_times
    ]


def node_report(message):
    """Return the `NodeReport` of a received message."""
    return NodeReport(
        node_id=message.node_id,
        incarnation=message.incarnation,
        slices=tuple(
            SliceRate(
                service=entry.service_name,
                start=entry.slice_start,
                requests_per_s=entry.requests_per_s,
                epoch=entry.slice_epoch,
                slots_needed=entry.slots_needed,
            )
            for entry in message.slices
        ),
        hot_keys=tuple(
            HotKeyRate(
                service=entry.service_name,
                key_hash=entry.key_hash,
                requests_per_s=entry.requests_per_s,
            )
            for entry in message.hot_keys
        ),
        busy_fraction=message.busy_fraction,
        backend_up=message.backend_up,
        lease_held=message.lease_held,
        service_ms=message.service_ms,
        cold_requests_per_s=message.cold_requests_per_s,
        limit_per_s=message.limit_per_s,
        kind_times=_kind_times(message.kind_times),
    )


def _kind_times(messages):
    if messages is None:
        return None
    return tuple(
        KindTime(
            priority=message.priority,
            repeatable=message.repeatable,
            typical_ms=message.typical_ms,
        )
        for message in messages
        if 0 < message.typical_ms < math.inf
    )
