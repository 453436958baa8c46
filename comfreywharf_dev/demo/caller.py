"""A caller as in docs/interfaces.md, which handles each outcome of a request."""

import time
import uuid

import attrs

from comfreywharf.clock import boottime_s

__all__ = ["Answer", "Caller"]

RETRY_LIMIT_S = 12.0
DEFAULT_RETRY_WAIT_S = 0.1


@attrs.frozen(kw_only=True)
class Answer:
    """The result of one request after all of its attempts.

    ``reasons`` holds the reason of each attempt's answer, or its outcome if it gave no
    reason.
    """

    request_id: str
    key: str | None
    ingress: str
    status: int
    outcome: str
    document: object
    attempts: int
    reasons: tuple[str, ...]
    elapsed_s: float

    @property
    def server(self):
        """Return the name of the backend server that answered, or an empty text."""
        answered = isinstance(self.document, dict)
        return self.document.get("server", "") if answered else ""

    @property
    def correct(self):
        """Return whether this is a complete answer to this request and its key."""
        if self.status != 200 or self.outcome != "answered":
            return False
        expected = (self.request_id, self.key or "")
        return (self.document["request_id"], self.document["key"]) == expected


class Caller:
    """Send requests to the nodes in turn, and retry where that is safe.

    A request with the outcome "not run" is sent again after the time in the
    answer's Retry-After header. With the outcome "unknown" it is sent again under
    the same request id, which the router recognises. The time since the first
    attempt tells the router how long it must have remembered the request id to
    rule out an earlier run.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._node_ids = list(cluster.plans)
        self._turn = 0
        self.answers = []

    def remove_node(self, node_id):
        """Stop sending to a node that has stopped."""
        self._node_ids.remove(node_id)

    def add_node(self, node_id):
        """Send again to a node that was restarted."""
        self._node_ids.append(node_id)

    def book(self, key):
        """Book in a calendar through the next node."""
        return self._request("/booking/book", key, "POST")

    def read_files(self):
        """Read from the files service, which any of its servers may answer."""
        return self._request("/files/look", None, "GET")

    def _request(self, path, key, method):
        request_id = uuid.uuid4().hex
        started_s = boottime_s()
        attempts, reasons = 0, []
        first_sent_s = None
        while True:
            attempts += 1
            ingress = self._next_node()
            sent_s = boottime_s()
            first_sent_s = first_sent_s or sent_s
            ago_ms = int((sent_s - first_sent_s) * 1000)
            request_headers = {
                "Comfreywharf_Request_Id": request_id,
                "Comfreywharf_First_Sent_Ago_Ms": str(ago_ms),
            }
            status, headers, document = self._send(
                ingress, path, key, method, request_headers
            )
            outcome = headers.get("Comfreywharf-Outcome", "no answer")
            reasons.append(headers.get("Comfreywharf-Reason", outcome))
            elapsed_s = boottime_s() - started_s
            if outcome == "answered" or elapsed_s > RETRY_LIMIT_S:
                break
            if outcome == "not-run" and sent_s == first_sent_s:
                # No attempt has run, so the next one counts as the first again.
                first_sent_s = None
            time.sleep(float(headers.get("Retry-After", DEFAULT_RETRY_WAIT_S)))
        answer = Answer(
            request_id=request_id,
            key=key,
            ingress=ingress,
            status=status,
            outcome=outcome,
            document=document,
            attempts=attempts,
            reasons=tuple(reasons),
            elapsed_s=elapsed_s,
        )
        self.answers.append(answer)
        return answer

    def _send(self, ingress, path, key, method, request_headers):
        try:
            return self._cluster.call(
                ingress, path, key=key, method=method, **request_headers
            )
        except OSError as error:
            return 0, {}, str(error)

    def _next_node(self):
        self._turn += 1
        return self._node_ids[self._turn % len(self._node_ids)]
