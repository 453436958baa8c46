"""A lease that is taken anew for a server whose grants last longer than it."""

import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

import gevent

from review.harness.consumer import send
from review.harness.deployment import Deployment, Record, route, service
from review.harness.store import TroubledStore
from review.harness.upstream import Upstream, common_holds

HOST = "verkko.example"
NAMES = ("p1", "p2", "p3", "p4", "p5")
PER_S = 100
CALM_S = 5.0
SERVED_S = 1.0
KILLED_AFTER_S = 0.6
SILENT_S = 4.5
KILLED_S = 3.5
KEYS = range(16, 65536, 512)
MAX_COMMON_S = 0.5
SEED = 7


def main():
    """Return the exit status."""
    record = Record(Path(__file__).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    routes = {
        "book": route(HOST, "/varaus/", "non_idempotent", "pieraksts", 4000, 1723)
    }
    services = {"pieraksts": service(sharded=True)}
    with Deployment(record, routes, services, TroubledStore()) as deployment:
        try:
            return _Case(deployment, record, trouble).run()
        except TimeoutError as error:
            record.say(f"could not run: {error}")
            return 2


class _Case:
    def __init__(self, deployment, record, trouble):
        self.deployment = deployment
        self.store = deployment.store
        self.record = record
        self.trouble = trouble
        self.random = random.Random(SEED)
        self.sent = 0
        self.began_s = time.monotonic()

    def run(self):
        deployment = self.deployment
        for name in NAMES:
            deployment.add(
                name, Upstream(f"i-{name}", "pieraksts", self.record, _work, 12, True)
            )
        for name in NAMES:
            deployment.wait_for(lambda n=name: deployment.ready(n), 20, f"{name} ready")
        deployment.wait_for(self._all_held, 30, "each key is held by one upstream")
        gevent.sleep(CALM_S)
        sending = gevent.spawn(self._send)
        gevent.sleep(SERVED_S)
        if self.trouble:
            self._disturb()
        gevent.sleep(SILENT_S - KILLED_AFTER_S)
        self.store.silent = False
        self.record.line("the store answers")
        gevent.sleep(2.0)
        sending.kill()
        gevent.sleep(2.0)
        return self._judge()

    def _disturb(self):
        left_s = Counter()
        for name, upstream in self.deployment.upstreams.items():
            left_s[name] = max(upstream.left_s(key) for key in KEYS)
        name, longest_s = left_s.most_common(1)[0]
        self.record.line(f"{name}'s upstream holds keys for {longest_s:.3f} s more")
        self.store.silent = True
        self.record.line("the store is silent")
        self.deployment.upstreams[name].reset_connections()
        self.record.line(f"the connections to {name}'s upstream are reset")
        gevent.sleep(KILLED_AFTER_S)
        gevent.spawn(self._kill_for_a_while, name)

    def _kill_for_a_while(self, name):
        self.deployment.kill(name)
        gevent.sleep(KILLED_S)
        self.deployment.start(name)

    def _all_held(self):
        upstreams = self.deployment.upstreams.values()
        return all(sum(u.holds_key(key) for u in upstreams) == 1 for key in KEYS)

    def _send(self):
        while True:
            self.sent += 1
            gevent.spawn(self._book, f"booking-{self.sent}")
            gevent.sleep(1 / PER_S)

    def _book(self, request_id):
        node, key = self.random.choice(NAMES), self.random.choice(KEYS)
        headers = {
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": 1200,
            "X-Shard-Key": key,
        }
        address, body = self.deployment.outbound(node), request_id.encode()
        answer = send(address, "POST", HOST, "/varaus/1", headers, [body], len(body))
        self.record.line(f"{request_id}, key {key}, at {node}: status {answer.status}")

    def _common(self):
        broken, upstreams = [], list(self.deployment.upstreams.values())
        for key in KEYS:
            for one, other, begin_s, end_s, fences in common_holds(upstreams, key):
                if end_s - begin_s > MAX_COMMON_S:
                    broken.append(
                        f"OWNER: {one.instance} and {other.instance} both held key "
                        f"{key} for {end_s - begin_s:.3f} s from "
                        f"{begin_s - self.record.began_s:.3f} on, generations {fences}"
                    )
        return broken

    def _judge(self):
        broken = self._common()
        for line in broken[:20]:
            self.record.say(line)
        self.record.say(f"broken {len(broken)} times" if broken else "held")
        return 1 if broken else 0


def _work(request):
    gevent.sleep(0.1)
    stamp = ("X-Response-Stamp", f"stamp-{request.id}")
    return 200, [stamp], f"done {request.id}".encode()


if __name__ == "__main__":
    sys.exit(main())
