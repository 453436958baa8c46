"""The operators' port and the backend server's port, both HTTP with JSON."""

import time
from collections import Counter

import attrs
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.operating.assignments import AssignmentReasons
from comfreywharf.daemon.operating.diagnosis import diagnose
from comfreywharf.daemon.operating.documents import (
    DrainDocument,
    DrainOrder,
    LiftOrder,
    PatchOrder,
    QuarantineDocument,
    StatusDocument,
    Verdict,
)
from comfreywharf.daemon.operating.jsonport import BadInput, JsonPort, Reply
from comfreywharf.daemon.operating.submissions import (
    patch_from_order,
    submission_document,
    submit_patch,
    submit_record,
)
from comfreywharf.daemon.operating.views import (
    config_document,
    configuration_at,
    evacuation_documents,
    node_documents,
    owner_document,
    service_documents,
    version_documents,
)
from comfreywharf.daemon.servers.backend import Announcement
from comfreywharf.records import KEY_SPACE, DrainChanged
from comfreywharf.records.codec import converter

__all__ = ["BackendPort", "OperatorPort"]

NO_BASE_VERSION = -1
"""Stands for a missing ``base_version`` in the query of ``/config/outcome``."""
_STATUS_OF_VERDICT = {
    Verdict.ACCEPTED: 200,
    Verdict.REFUSED: 409,
    Verdict.UNKNOWN: 202,
}


class BackendPort(JsonPort):
    """The HTTP port at which the backend server beside the node announces itself."""

    def __init__(self, node):
        super().__init__({("POST", "/announce"): self._announce})
        self._node = node

    def _announce(self, request):
        announcement = request.document(Announcement, lenient=True)
        _check_announcement(announcement)
        self._node.backend_announced(announcement)
        return Reply(200, {"node_id": self._node.settings.node_id})


def _check_announcement(announcement):
    wrong = [
        f"{field}: found {getattr(announcement, field)}; expected {low} to {high}"
        for field, low, high in (
            ("port", 1, 65535),
            ("slots", 1, 100_000),
            ("connections", 1, 100_000),
        )
        if not low <= getattr(announcement, field) <= high
    ]
    if wrong:
        raise BadInput(400, "the announcement has faults", wrong)


class OperatorPort(JsonPort):
    """The HTTP port for operators and their tool."""

    def __init__(self, node):
        super().__init__(
            {
                ("GET", "/status"): self._status,
                ("GET", "/state"): self._whole_state,
                ("GET", "/nodes"): self._nodes,
                ("GET", "/services"): self._services,
                ("GET", "/owner"): self._owner,
                ("GET", "/config"): self._config,
                ("POST", "/config"): self._submit,
                ("GET", "/config/history"): self._history,
                ("GET", "/config/outcome"): self._outcome,
                ("POST", "/drain"): self._drain,
                ("POST", "/undrain"): self._undrain,
                ("GET", "/evacuations"): self._evacuations,
                ("GET", "/quarantine"): self._quarantine,
                ("POST", "/quarantine/lift"): self._lift,
                ("GET", "/events"): self._events,
                ("GET", "/doctor"): self._doctor,
            }
        )
        self._node = node
        self._reasons = AssignmentReasons()
        node.follower.subscribe(self._on_folded)

    def __call__(self, environ, start_response):
        """Answer one request; a scrape of the metrics isn't JSON."""
        if environ["PATH_INFO"] != "/metrics":
            return super().__call__(environ, start_response)
        body, headers = self._node.meter.scrape(environ.get("HTTP_ACCEPT", ""))
        length = ("Content-Length", str(len(body)))
        start_response("200 OK", [*headers.items(), length])
        return [body]

    @property
    def _state(self):
        return self._node.follower.state

    def _on_folded(self, record, result):
        self._reasons.update(record, result, self._state.next_offset - 1)

    def _read_state(self):
        """Return the folded state; raise `BadInput` unless the log was read to its end.

        A node that starts, or that missed records, has an older state or none. An
        operator would see version 0 as the configuration in force, and might base
        the next patch on an empty configuration.
        """
        if not self._node.follower.usable:
            raise BadInput(
                503,
                "this node hasn't read the whole log yet; expected to be asked "
                "later, or another node",
            )
        return self._state

    def _status(self, request):
        node, state = self._node, self._state
        node_id = node.settings.node_id
        member = state.members.get(node_id)
        return Reply(
            200,
            StatusDocument(
                node_id=node_id,
                incarnation=node.incarnation,
                failure_domain=node.settings.failure_domain,
                region=node.settings.region,
                service=member.service if member else "",
                next_offset=state.next_offset,
                config_version=state.config.version,
                log_reachable=node.follower.reachable,
                log_read=node.follower.usable,
                state=node.lifecycle.state,
                lease=node.leases.holder.phase,
                serving=self._serving(),
                owned_slices=sum(1 for _ in state.owned_by(node_id)),
                standby_slices=_count_standby(state, node_id),
                draining=bool(member and member.draining),
                planner_id=state.planner_id,
                planner_term=state.planner_term,
                dropped_events=node.events.dropped,
                wall_clock_ms=time.time_ns() // 1_000_000,
                backend=attrs.asdict(node.backend.announcement)
                if node.backend
                else None,
                backend_leaves=node.leaving_backend is not None,
                **self._limit_fields(),
            ),
        )

    def _limit_fields(self):
        limit = self._node.load.rate_limit
        if limit.limit_per_s is None:
            return {}
        limited_s = boottime_s() - limit.limited_since_s
        return {
            "limit_per_s": limit.limit_per_s,
            "limited_ms": round(limited_s * 1000),
        }

    def _serving(self):
        """Return how many slices of each service this node may serve now."""
        served = self._node.leases.table.serving(self._state, boottime_s())
        return dict(Counter(service for service, *_ in served))

    def _whole_state(self, request):
        return Reply(200, converter.unstructure(self._state))

    def _nodes(self, request):
        return Reply(200, node_documents(self._state))

    def _services(self, request):
        return Reply(200, service_documents(self._state))

    def _owner(self, request):
        state = self._read_state()
        service = request.text("service")
        declared = state.config.services
        if service not in declared:
            known = ", ".join(sorted(declared)) or "none yet"
            raise BadInput(404, f"service: found {service!r}; declared are {known}")
        if not declared[service].divided_by_key:
            raise BadInput(409, f"{service} isn't divided by key: any node serves it")
        value = request.integer("key_hash")
        if value >= KEY_SPACE:
            raise BadInput(400, f"key_hash: found {value}; expected < {KEY_SPACE}")
        document = owner_document(state, self._reasons, service, value)
        return Reply(200, document)

    def _config(self, request):
        state = self._read_state()
        version = request.integer("version", state.config.version)
        config = configuration_at(state, version)
        if config is None:
            raise BadInput(
                404,
                f"version: found {version}; the one in force is "
                f"{state.config.version}, and older ones are kept for a while",
            )
        return Reply(200, config_document(config))

    def _history(self, request):
        return Reply(200, version_documents(self._read_state()))

    def _submit(self, request):
        self._read_state()
        record = patch_from_order(request.document(PatchOrder))
        document = submit_patch(self._node.follower, record)
        return Reply(_STATUS_OF_VERDICT[document.verdict], document)

    def _outcome(self, request):
        record_id = request.text("record_id")
        base_version = request.integer("base_version", NO_BASE_VERSION)
        if base_version == NO_BASE_VERSION:
            base_version = None
        return Reply(
            200, submission_document(self._read_state(), record_id, base_version)
        )

    def _drain(self, request):
        return self._change_drain(request, draining=True)

    def _undrain(self, request):
        return self._change_drain(request, draining=False)

    def _change_drain(self, request, draining):
        order = request.document(DrainOrder)
        members = self._read_state().members
        if order.node_id not in members:
            known = ", ".join(sorted(members)[:20])
            raise BadInput(404, f"node_id: found {order.node_id!r}; known are {known}")
        record = DrainChanged(
            record_id=order.record_id,
            node_id=order.node_id,
            draining=draining,
            author=order.author,
        )
        document = submit_record(self._node.follower, record)
        member = self._state.members.get(order.node_id)
        owned = sum(1 for _ in self._state.owned_by(order.node_id))
        return Reply(
            _STATUS_OF_VERDICT[document.verdict],
            DrainDocument(
                submission=document,
                node_id=order.node_id,
                draining=bool(member and member.draining),
                owned_slices=owned,
            ),
        )

    def _evacuations(self, request):
        state, evacuations = self._read_state(), self._node.evacuations
        return Reply(200, evacuation_documents(state, evacuations, boottime_s()))

    def _quarantine(self, request):
        quarantine = self._find_quarantine()
        entries = quarantine.list(boottime_s()) if quarantine else []
        return Reply(
            200,
            [
                QuarantineDocument(
                    fingerprint=entry.fingerprint,
                    service=entry.service,
                    standing=entry.standing.value,
                    crashes=entry.crashes,
                    remaining_s=entry.remaining_s,
                )
                for entry in entries
            ],
        )

    def _lift(self, request):
        order = request.document(LiftOrder)
        quarantine = self._find_quarantine()
        if quarantine is None or not quarantine.lift(order.fingerprint):
            raise BadInput(
                404,
                f"fingerprint: found {order.fingerprint[:80]!r}; "
                "expected one that `comfreywharf quarantine list` shows",
            )
        logging.info(
            "%s lifted the quarantine of request %s",
            order.author[:80],
            order.fingerprint,
        )
        return Reply(200, order)

    def _find_quarantine(self):
        """Return the node's quarantine, or ``None`` in a node without one."""
        return getattr(getattr(self._node, "load", None), "quarantine", None)

    def _events(self, request):
        events = self._node.events.since(request.integer("since", 0))
        return Reply(200, events)

    def _doctor(self, request):
        return Reply(200, diagnose(self._node))


def _count_standby(state, node_id):
    return sum(
        slice_.standby == node_id
        for slice_map in state.slices.values()
        for slice_ in slice_map.slices
    )
