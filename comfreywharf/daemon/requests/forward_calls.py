"""Handlers of the calls between nodes that carry requests and large bodies."""

import gevent
from absl import logging

from comfreywharf.clock import boottime_s
from comfreywharf.daemon.requests.bodies import PART_BYTES, StreamTable, Upload
from comfreywharf.daemon.requests.forwarder import StreamedReply
from comfreywharf.daemon.requests.replies import refusal
from comfreywharf.daemon.servers.backend import BackendError
from comfreywharf.records import key_hash
from comfreywharf.routing import Reason
from comfreywharf.transport.gen.ttypes import BodyChunk, UploadOpened
from comfreywharf.transport.transits import TransitTimes

__all__ = ["ForwardCalls"]

STREAM_MARGIN_S = 1.0
"""How long a stream id stays valid after the stream's deadline."""

TRANSIT_MARGIN_S = 0.1
"""Transit time of a message that isn't subtracted from its request's time. A busy node
needs this long to send and to read a message."""

MAX_PART_BYTES = PART_BYTES * 4


class ForwardCalls:
    """Implement the request and body calls of the thrift interface ``Node``."""

    def __init__(self, node):
        self._node = node
        self._uploads = StreamTable()
        self._downloads = StreamTable()
        self._transit_times = {}

    def forward(self, request):
        """Serve a request whose key this node owns."""
        self._subtract_transit_time(request)
        if request.remaining_ms <= 0:
            return refusal(Reason.DEADLINE_BEFORE_START)
        served = self._node.forwarder.serve(request, request.body, boottime_s())
        return self._reply(served)

    def open_upload(self, request):
        """Start a request whose body is sent once it is wanted."""
        upload = Upload()
        self._subtract_transit_time(request)
        if request.remaining_ms <= 0:
            upload.finish(StreamedReply(refusal(Reason.DEADLINE_BEFORE_START)))
        else:
            gevent.spawn(self._serve_upload, request, upload, boottime_s())
        stream_id = self._uploads.add(upload)
        kept_s = request.remaining_ms / 1000 + STREAM_MARGIN_S
        gevent.spawn_later(kept_s, self._uploads.remove, stream_id)
        return UploadOpened(stream_id=stream_id, wanted=upload.await_demand())

    def _subtract_transit_time(self, request):
        """Subtract the time that a request spent in queues from its remaining time.

        If none is left, the caller has disconnected, and a cancellation may follow.
        """
        if not request.sent_ms:
            return
        transits = self._transit_times.setdefault(
            request.ingress_node_id, TransitTimes()
        )
        queued_s = transits.queued_s(request.sent_ms / 1000, boottime_s())
        request.remaining_ms -= max(0, int((queued_s - TRANSIT_MARGIN_S) * 1000))

    def _serve_upload(self, request, upload, now_s):
        try:
            upload.finish(self._node.forwarder.serve(request, upload, now_s))
        except Exception:
            logging.exception("unexpected error while serving an upload")
            upload.finish(StreamedReply(refusal(Reason.INTERNAL)))

    def write_upload(self, stream_id, data):
        """Accept a part of a body; return false if no more is wanted."""
        upload = self._uploads.get(stream_id)
        return upload is not None and upload.put(data)

    def finish_upload(self, stream_id):
        """Mark the end of the body, and return the reply."""
        upload = self._uploads.remove(stream_id)
        if upload is None:
            return refusal(Reason.INTERNAL)
        upload.put(None)
        return self._reply(upload.finished.get())

    def _reply(self, served):
        if served.stream is not None:
            stream_id = self._downloads.add(served.stream)
            served.reply.stream_id = stream_id
            left_s = max(0, served.stream.deadline_s - boottime_s())
            gevent.spawn_later(left_s + STREAM_MARGIN_S, self._drop_download, stream_id)
        return served.reply

    def _drop_download(self, stream_id):
        stream = self._downloads.remove(stream_id)
        if stream is not None:
            stream.close()

    def read_body(self, stream_id, max_bytes):
        """Return the next part of a streamed answer."""
        stream = self._downloads.get(stream_id)
        if stream is None:
            return BodyChunk(data=b"", last=True, failed=True)
        try:
            data = stream.read(max(1, min(max_bytes, MAX_PART_BYTES)))
        except BackendError:
            self._downloads.remove(stream_id)
            return BodyChunk(data=b"", last=True, failed=True)
        if not data:
            self._downloads.remove(stream_id)
        return BodyChunk(data=data, last=not data, failed=False)

    def cancel(self, service_name, key, request_id):
        """Cancel a request that this node forwarded."""
        value = key_hash(key) if key else 0
        self._node.forwarder.cancel(service_name, value, request_id)
