"""Which step decided how a request ended, and what its node believed then."""

import attrs

__all__ = ["Belief", "Verdict", "format_verdict", "verdict_on"]

_ENDS = frozenset({"refused", "unknown", "turned_away"})
_CAUSES = frozenset({"no_right", "not_admitted", "backend_failed", "turned_away"})
_REPORTING = ("given_up", "refused", "unknown")

_BELIEFS = {
    "fold": ("log read to offset", "fold_age_ms"),
    "routes_version": ("routes of version", "routes_age_ms"),
}
"""The words for a belief and the fact that holds its age, by the belief's fact."""

_ASIDE = frozenset({"reason", "retry_after_ms", "log_reachable", "hint"})


@attrs.frozen(kw_only=True)
class Belief:
    """What a node believed, and how old that knowledge was.

    ``age_ms`` is ``None`` if the line doesn't tell it.
    """

    node: str
    belief: str
    age_ms: int | None


@attrs.frozen(kw_only=True)
class Verdict:
    """The end of a request that wasn't answered, and the step that decided on it.

    ``index`` is that step's position. ``complete`` is false if only the end itself is
    known: the line of the node that decided is missing.
    """

    index: int
    end: str
    complete: bool
    beliefs: list[Belief]


def verdict_on(steps):
    """Return the `Verdict` on a request from its steps, in causal order.

    Return ``None`` if no step tells that the request ended without an answer. The
    last refusal before the end decides: those before it were followed by another try.
    """
    ends = [i for i, step in enumerate(steps) if step.decision in _ENDS]
    if not ends:
        return None
    end = ends[-1]
    causes = [i for i in range(end + 1) if steps[i].decision in _CAUSES]
    index = causes[-1] if causes else end
    reporting = [s for s in steps[index : end + 1] if s.decision in _REPORTING]
    return Verdict(
        index=index,
        end=steps[end].decision,
        complete=bool(causes) or not _has_asked(steps[end]),
        beliefs=_beliefs([steps[index], *reporting]),
    )


def _has_asked(step):
    """Return whether another node was asked, which then has a line of its own."""
    return step.facts.get("asked", "") not in ("", step.node)


def _beliefs(steps):
    found = {}
    for step in steps:
        for fact, (words, age) in _BELIEFS.items():
            if fact in step.facts:
                belief = Belief(
                    node=step.node,
                    belief=f"{words} {step.facts[fact]}",
                    age_ms=step.facts.get(age),
                )
                found.setdefault((step.node, fact), belief)
    return list(found.values())


def format_verdict(steps, verdict):
    """Yield the lines of a verdict for people.

    >>> from comfreywharf.events.explain import Step
    >>> step = Step(1, "n1", "not_admitted", {"reason": "overloaded", "running": 9})
    >>> end = Step(2, "n2", "refused", {"fold": 4, "fold_age_ms": 116, "asked": "n1"})
    >>> steps = [step, end]
    >>> print("\\n".join(format_verdict(steps, verdict_on(steps))))
    decided by n1, not_admitted: overloaded (running=9)
      n2 believed: log read to offset 4, 116 ms old
    """
    step = steps[verdict.index]
    because = step.facts.get("reason", "no reason in the line")
    details = " ".join(
        f"{name}={value}"
        for name, value in step.facts.items()
        if name not in _ASIDE and not _is_belief(name)
    )
    suffix = f" ({details})" if details else ""
    yield f"decided by {step.node}, {step.decision}: {because}{suffix}"
    if not verdict.complete:
        yield f"  the line of {step.facts['asked']}, which was asked, is missing"
    for belief in verdict.beliefs:
        age = "of unknown age" if belief.age_ms is None else f"{belief.age_ms} ms old"
        yield f"  {belief.node} believed: {belief.belief}, {age}"


def _is_belief(name):
    return name in _BELIEFS or name in {age for _, age in _BELIEFS.values()}
