"""The decisions on one request, combined from the log lines of all nodes."""

import attrs
import orjson

from comfreywharf.events.decisions import DECISIONS

__all__ = ["Step", "format_steps", "read_steps"]


@attrs.frozen
class Step:
    """One decision on a request, as a node logged it."""

    clock: int
    node: str
    decision: str
    facts: dict


def read_steps(lines, request_id):
    """Return the `Step` of each line about a request, in causal order.

    Any prefix before the JSON object of a line, as log collectors add it, is
    skipped, and so are lines without a JSON object. Steps are sorted by their
    hybrid logical clocks: a decision that a node made after it received a message
    follows the decisions that the sender made before it sent the message.
    """
    steps = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            fields = orjson.loads(line[start:].strip())
        except orjson.JSONDecodeError:
            continue
        if isinstance(fields, dict) and fields.get("request") == request_id:
            steps.append(_step(fields))
    steps = [step for step in steps if step is not None]
    return sorted(steps, key=lambda step: (step.clock, step.node))


def _step(fields):
    names = ("clock", "node", "decision")
    if not all(name in fields for name in names):
        return None
    facts = {k: v for k, v in fields.items() if k not in (*names, "request")}
    return Step(*(fields[name] for name in names), facts)


def format_steps(steps):
    """Yield the steps of a request as lines of text for people.

    >>> step = Step(1 << 16, "n1", "refused", {"reason": "overloaded"})
    >>> print("\\n".join(format_steps([step])))
    +0 ms  n1  refused: the caller was told that its request didn't run
               reason=overloaded
    """
    if not steps:
        return
    start_ms = steps[0].clock >> 16
    width = max(len(step.node) for step in steps)
    for step in steps:
        elapsed_ms = (step.clock >> 16) - start_ms
        description = DECISIONS.get(step.decision, "a decision of another version")
        head = f"+{elapsed_ms} ms  {step.node:<{width}}"
        yield f"{head}  {step.decision}: {description}"
        facts = " ".join(f"{name}={value}" for name, value in step.facts.items())
        if facts:
            yield " " * (len(head) + 2) + facts
