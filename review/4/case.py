"""Bookings while upstreams refuse a part of them and repeat a few answers late."""

import os
import random
import sys
from collections import Counter
from pathlib import Path

import gevent

from review.harness.consumer import send
from review.harness.deployment import Deployment, Record, route, service
from review.harness.upstream import Upstream

HOST = "verkko.example"
PER_S = 100
CALM_S = 5.0
TROUBLED_S = 5.0
ROUNDS = 5
REFUSED_SHARE = 0.55
REPEATED_SHARE = 0.03
NAMES = ("p1", "p2", "p3")
REPEATING = ("p1", "p2")
SEED = 7


def main():
    """Return the exit status."""
    record = Record(Path(__file__).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    routes = {"book": route(HOST, "/varaus/", "non_idempotent", "pieraksts", 1200, 500)}
    services = {"pieraksts": service(sharded=True)}
    with Deployment(record, routes, services) as deployment:
        try:
            return _Case(deployment, record, trouble).run()
        except TimeoutError as error:
            record.say(f"could not run: {error}")
            return 2


class _Case:
    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.record = record
        self.trouble = trouble
        self.troubled = False
        self.random = random.Random(SEED)
        self.answers = {}

    def run(self):
        deployment = self.deployment
        for name in NAMES:
            deployment.add(name, self._upstream(name))
        deployment.add("p4", self._upstream("p4"))
        for name in deployment.ports:
            deployment.wait_for(lambda n=name: deployment.ready(n), 20, f"{name} ready")
        deployment.wait_for(self._all_held, 30, "each key is held by one upstream")
        for number in range(2 * ROUNDS):
            self.troubled = self.trouble and number % 2 == 1
            self.record.line(f"trouble {'on' if self.troubled else 'off'}")
            self._send_for(TROUBLED_S if number % 2 else CALM_S)
        self.troubled = False
        gevent.sleep(2.5)
        return self._judge()

    def _upstream(self, name):
        def refuses(request):
            return self.troubled and self.random.random() < REFUSED_SHARE

        def repeats(request, answer):
            troubled = self.troubled and name in REPEATING
            return troubled and self.random.random() < REPEATED_SHARE

        upstream = Upstream(f"i-{name}", "pieraksts", self.record, _work, sharded=True)
        upstream.refuses, upstream.repeats = refuses, repeats
        return upstream

    def _all_held(self):
        upstreams = self.deployment.upstreams.values()
        return all(
            sum(upstream.holds_key(key) for upstream in upstreams) == 1
            for key in range(0, 65536, 512)
        )

    def _send_for(self, length_s):
        for _ in range(int(length_s * PER_S)):
            gevent.spawn(self._book, f"booking-{len(self.answers)}")
            self.answers[f"booking-{len(self.answers)}"] = None
            gevent.sleep(1 / PER_S)

    def _book(self, request_id):
        node = self.random.choice(list(self.deployment.ports))
        headers = {
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": 1200,
            "X-Shard-Key": self.random.randrange(65536),
        }
        address, body = self.deployment.outbound(node), request_id.encode()
        answer = send(address, "POST", HOST, "/varaus/1", headers, [body], len(body))
        self.answers[request_id] = answer
        self.record.line(f"consumer at {node} got for {request_id}: {answer.status}")

    def _judge(self):
        upstreams = self.deployment.upstreams.values()
        runs = Counter(run.id for upstream in upstreams for run in upstream.runs)
        broken = [
            f"TWICE: {request_id} ran {count} times, its consumer got "
            f"{self.answers[request_id].status}"
            for request_id, count in runs.items()
            if count > 1
        ]
        broken += [
            f"REFUSED: {request_id} was answered {answer.status} and has run"
            for request_id, answer in self.answers.items()
            if answer.status in (408, 421, 429, 503) and runs[request_id]
        ]
        for line in broken:
            self.record.say(line)
        statuses = Counter(answer.status for answer in self.answers.values())
        self.record.say(f"bookings by status: {dict(statuses)}")
        self.record.say("broken" if broken else "held")
        return 1 if broken else 0


def _work(request):
    gevent.sleep(0.16)
    stamp = ("X-Response-Stamp", f"stamp-{request.id}")
    return 200, [stamp], f"done {request.id}".encode()


if __name__ == "__main__":
    sys.exit(main())
