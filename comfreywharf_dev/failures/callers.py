"""Callers that keep sending through a failure and record the results."""

import itertools
import threading
import time
import uuid

from geventhttpclient.response import HTTPParseError

from comfreywharf.clock import boottime_s
from comfreywharf_dev.failures.invariants import CallOutcome, CallResult
from comfreywharf_dev.standins.cluster import http_json, wait_until

__all__ = ["Callers", "book"]

CALL_TIMEOUT_S = 8.0
PAUSE_S = 0.01
MAX_ATTEMPTS = 3
SERVED_TIMEOUT_S = 20.0
"""Timeout of a wait; benchmarks measure how soon keys are served again."""


def book(
    cluster,
    node_id,
    key,
    *,
    request_id=None,
    first_sent_s=None,
    timeout_ms=2000,
    work_ms=None,
):
    """Send one booking through a node and return its `CallResult`.

    ``first_sent_s`` is when this request was sent for the first time; ``None``
    means now.
    """
    request_id = request_id or uuid.uuid4().hex
    sent_s = boottime_s()
    ago_ms = 0 if first_sent_s is None else int((sent_s - first_sent_s) * 1000) + 1
    path = "/booking/book" + (f"?work_ms={work_ms}" if work_ms else "")
    headers = {
        "Comfreywharf-Key": key,
        "Comfreywharf-Request-Id": request_id,
        "Comfreywharf-First-Sent-Ago-Ms": str(ago_ms),
        "Comfreywharf-Timeout-Ms": str(timeout_ms),
    }
    port = cluster.plans[node_id].caller_port
    fields = {}
    try:
        status, answer_headers, document = http_json(
            port, "POST", path, headers=headers, timeout_s=CALL_TIMEOUT_S
        )
        fields = _result_fields(status, answer_headers, document)
    except (OSError, HTTPParseError) as error:
        fields = {"outcome": CallOutcome.NO_ANSWER, "reason": repr(error)}
    return CallResult(
        request_id=request_id,
        key=key,
        node_id=node_id,
        sent_s=sent_s,
        done_s=boottime_s(),
        **fields,
    )


def _result_fields(status, headers, document):
    outcome = CallOutcome(headers.get("Comfreywharf-Outcome", "nothing"))
    accepted = outcome is CallOutcome.ANSWERED and status == 200
    echo = document if accepted and isinstance(document, dict) else {}
    return {
        "outcome": outcome,
        "status": status,
        "reason": headers.get("Comfreywharf-Reason", ""),
        "accepted": accepted,
        "echoed_key": echo.get("key", ""),
        "echoed_id": echo.get("request_id", ""),
    }


class Callers:
    """Threads that send bookings, each through all given nodes in turn.

    A request without an answer is sent again under the same id through the next
    node, a few times, as a real caller does to find out whether it was run. Such
    resends would be applied twice if no node remembered the request. The number of
    threads and the pauses between requests bound the load.

    >>> with Callers(cluster, keys) as callers:  # doctest: +SKIP
    ...     cluster.kill_node("booking-1")
    ...     callers.wait_served(["calendar-1"])
    """

    def __init__(self, cluster, keys, *, count=4, node_ids=None, timeout_ms=2000):
        self.results = []
        self._cluster = cluster
        self._keys = tuple(keys)
        self._node_ids = tuple(node_ids or cluster.plans)
        self._timeout_ms = timeout_ms
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_bookings, args=(index,), daemon=True)
            for index in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self.end()

    def end(self):
        """Send no more requests and wait for the outstanding answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def since(self, start_s):
        """Return the results of requests sent at ``start_s`` or later."""
        return [one for one in list(self.results) if one.sent_s >= start_s]

    def served_since(self, start_s):
        """Return the keys with an accepted booking sent at ``start_s`` or later."""
        return {one.key for one in self.since(start_s) if one.accepted}

    def wait_served(self, keys=None, timeout_s=SERVED_TIMEOUT_S):
        """Wait until each key has an accepted booking that was sent from now on.

        Raises `TimeoutError` with the missing keys and their last results.
        """
        start_s = boottime_s()
        wanted = set(keys or self._keys)
        try:
            wait_until(lambda: wanted <= self.served_since(start_s), timeout_s)
        except TimeoutError:
            missing = sorted(wanted - self.served_since(start_s))
            last = [one for one in self.since(start_s) if one.key in missing][-3:]
            raise TimeoutError(
                f"keys not served: {missing}; last results: {last}"
            ) from None

    def _send_bookings(self, index):
        nodes = itertools.islice(itertools.cycle(self._node_ids), index, None)
        keys = itertools.islice(itertools.cycle(self._keys), index, None)
        for key in keys:
            if self._stopped.is_set():
                return
            self._call_until_answered(key, nodes)
            time.sleep(PAUSE_S)

    def _call_until_answered(self, key, nodes):
        request_id = uuid.uuid4().hex
        first_sent_s = None
        for _ in range(MAX_ATTEMPTS):
            result = book(
                self._cluster,
                next(nodes),
                key,
                request_id=request_id,
                first_sent_s=first_sent_s,
                timeout_ms=self._timeout_ms,
            )
            first_sent_s = first_sent_s or result.sent_s
            self.results.append(result)
            if result.outcome is CallOutcome.ANSWERED or self._stopped.is_set():
                return
            time.sleep(PAUSE_S)
