"""Processor time per request of several parts of `comfreywharf.load`."""

import random
import time

from comfreywharf.load import Ejector, HotKeys, MemberLoad, TwoChoices, fingerprint
from comfreywharf.load.admission import (
    AdmissionState,
    Arrived,
    Finished,
    Result,
    decide,
)
from comfreywharf.load.fairqueue import Ticket
from comfreywharf.load.limits import ConcurrencyLimit
from comfreywharf_dev.bench.figures import Figure

__all__ = ["run"]

REQUESTS = 50_000
KEYS = 5_000
MEMBERS = 8


def _request_us(call):
    start_s = time.process_time()
    for number in range(REQUESTS):
        call(number)
    return (time.process_time() - start_s) / REQUESTS * 1e6


def _admission():
    state = AdmissionState(ConcurrencyLimit(12), 256, random.Random(0))

    def call(number):
        ticket = Ticket(flow=number, deadline_s=number + 1.0, arrived_s=number)
        decide(state, Arrived(ticket), number)
        decide(state, Finished(ticket, Result.ANSWERED), number + 0.01)

    return call


def _shedding():
    state = AdmissionState(ConcurrencyLimit(12), 256, random.Random(0))
    for number in range(300):
        ticket = Ticket(flow=number % 20, deadline_s=9.0, arrived_s=0.0)
        decide(state, Arrived(ticket), 0.0)

    def call(number):
        ticket = Ticket(flow=number % 20, deadline_s=9.0, arrived_s=0.0)
        decide(state, Arrived(ticket), 0.0)

    return call


def _hot_keys():
    keys, rng = HotKeys(0.0), random.Random(0)
    values = [int(rng.paretovariate(1.0)) % KEYS for _ in range(REQUESTS)]
    return lambda number: keys.count("booking", values[number], number / 10_000)


def _choice():
    members = [MemberLoad(f"m{index}") for index in range(MEMBERS)]
    ejector, chooser, rng = Ejector(), TwoChoices(), random.Random(0)

    def call(number):
        chosen = chooser.choose(ejector.usable(members, number), rng)
        chosen.begin()
        ejector.record_sent(chosen, number)
        chosen.finish(0.01, False)
        ejector.record_outcome(chosen, members, 0.01, False, number, False)

    return call


def _fingerprint():
    body = b"x" * 200
    return lambda number: fingerprint("booking", b"key", "POST", "/book", body)


def run():
    """Return the figures, in microseconds a request."""
    parts = {
        "admission": _admission,
        "shedding": _shedding,
        "hot_keys": _hot_keys,
        "choice_of_8": _choice,
        "fingerprint": _fingerprint,
    }
    return [
        Figure(name=name, value=_request_us(make()), unit="us")
        for name, make in parts.items()
    ]


if __name__ == "__main__":
    for figure in run():
        print(figure.name, figure.value, figure.unit, figure.note)
