"""A load generator in one process, with a closed or open loop.

It is seeded, and limited in requests and seconds. The result is written to standard
output as one JSON document.
"""

import random
import sys
from collections import Counter

import attrs
import gevent
import orjson
from cyclopts import App
from gevent.queue import Queue
from hdrh.histogram import HdrHistogram

from comfreywharf.clock import boottime_s
from comfreywharf_dev.bench.plain_client import PlainClient

__all__ = ["Load", "LoadResult", "run_closed", "run_open"]

MAX_REQUESTS = 200_000
MAX_SECONDS = 60.0
LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 3


@attrs.frozen(kw_only=True)
class Load:
    """The requests to send, their target, rate and duration.

    Each request takes a random key of ``keys``. With a ``rate_per_s`` (open loop),
    requests are due at seeded, exponentially distributed intervals, independent of
    the earlier answers. Without it (closed loop), each of ``concurrency`` callers
    sends its next request when it has received the answer to the previous one.
    """

    port: int
    path: str
    keys: tuple[str, ...]
    body_bytes: int = 256
    concurrency: int = 16
    seconds: float = 2.0
    rate_per_s: float = 0.0
    seed: int = 1


class LoadResult:
    """Numbers of requests by status, and a histogram of their durations."""

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.statuses = Counter()
        self.sent = 0

    def document(self, elapsed_s):
        """Return the result as a document of plain values."""
        histogram = self.histogram
        percentiles = {
            str(level): histogram.get_value_at_percentile(level) / 1000
            for level in (50, 90, 99, 99.9)
        }
        return {
            "sent": self.sent,
            "statuses": {str(status): n for status, n in self.statuses.items()},
            "elapsed_s": elapsed_s,
            "rate_per_s": sum(self.statuses.values()) / elapsed_s,
            "percentiles_ms": percentiles,
            "max_ms": histogram.get_max_value() / 1000,
            "histogram": histogram.encode().decode("ascii"),
        }


class _Sender:
    """Send requests of a load, and record their statuses and durations."""

    def __init__(self, load, result):
        self._load = load
        self._result = result
        self._random = random.Random(load.seed)
        self._body = b"b" * load.body_bytes
        self._client = PlainClient("127.0.0.1", load.port, concurrency=load.concurrency)

    def send(self, due_s):
        """Send one request; its duration is measured from ``due_s``."""
        headers = {"Comfreywharf-Key": self._random.choice(self._load.keys)}
        self._result.sent += 1
        try:
            response = self._client.request(
                "POST", self._load.path, self._body, headers
            )
            response.read()
            status = response.status_code
        except Exception as error:
            status = type(error).__name__
        self._result.statuses[status] += 1
        elapsed_us = (boottime_s() - due_s) * 1_000_000
        self._result.histogram.record_value(int(min(elapsed_us, HIGHEST_US)))


def run_closed(load):
    """Run a load as a closed loop and return the result document."""
    result = LoadResult()
    sender = _Sender(load, result)
    start_s = boottime_s()
    end_s = start_s + load.seconds

    def call():
        while (now_s := boottime_s()) < end_s and result.sent < MAX_REQUESTS:
            sender.send(now_s)

    gevent.joinall([gevent.spawn(call) for _ in range(load.concurrency)])
    return result.document(boottime_s() - start_s)


def run_open(load):
    """Run a load as an open loop and return the result document.

    Requests wait for one of ``concurrency`` callers if all are busy. The wait is part
    of a request's duration, which is measured from when the request was due.
    """
    result = LoadResult()
    sender = _Sender(load, result)
    due = Queue()
    start_s = boottime_s()

    def call():
        while (due_s := due.get()) is not None:
            sender.send(due_s)

    callers = [gevent.spawn(call) for _ in range(load.concurrency)]
    rng = random.Random(load.seed)
    due_s = start_s
    for _ in range(MAX_REQUESTS):
        due_s += rng.expovariate(load.rate_per_s)
        if due_s > start_s + load.seconds:
            break
        gevent.sleep(max(0.0, due_s - boottime_s()))
        due.put(due_s)
    for _ in callers:
        due.put(None)
    gevent.joinall(callers)
    return result.document(boottime_s() - start_s)


app = App(name="bench-generator", help="A bounded load generator.")


@app.default
def generate(load_json: str):
    """Run the load given as a JSON document."""
    fields = orjson.loads(load_json)
    load = Load(**{**fields, "keys": tuple(fields["keys"])})
    if load.seconds > MAX_SECONDS:
        sys.exit(f"{load.seconds} s of load; expected <= {MAX_SECONDS}")
    document = run_open(load) if load.rate_per_s else run_closed(load)
    sys.stdout.buffer.write(orjson.dumps(document))


if __name__ == "__main__":
    app()
