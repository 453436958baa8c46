"""The life cycle of a node, as defined by the chart in `node.toml`."""

import attrs

from comfreywharf.membership.charts import Chart, load_chart

__all__ = ["NodeFacts", "NodeLifecycle", "PauseDetector"]

_CHART = load_chart(__package__, "node.toml")

MIN_PAUSE_S = 0.5
"""The shortest delay of a loop, in seconds, that counts as a pause. It may be caused by
the machine or by work of the process itself."""


@attrs.frozen(kw_only=True)
class NodeFacts:
    """The conditions of a node that determine its state."""

    caught_up: bool
    lease_held: bool
    superseded: bool
    draining: bool


class NodeLifecycle:
    """Track a node's state, based on its conditions.

    >>> lifecycle = NodeLifecycle()
    >>> facts = NodeFacts(
    ...     caught_up=True, lease_held=True, superseded=False, draining=False)
    >>> [lifecycle.observe(facts) for _ in range(3)]
    [('starting', 'joining'), ('joining', 'active'), None]
    """

    def __init__(self):
        self._chart = Chart(_CHART)
        self._without_effect = None

    @property
    def state(self):
        """Return the current state."""
        return self._chart.state

    def observe(self, facts):
        """Fire the trigger that the facts require.

        Return the states before and after, or ``None`` without a transition.
        """
        trigger = self._trigger(facts)
        before = self.state
        # The chart allows the same triggers for as long as its state stays.
        if trigger is None or (before, trigger) == self._without_effect:
            return None
        if not self._chart.fire(trigger):
            self._without_effect = (before, trigger)
            return None
        return before, self.state

    def stop(self):
        """Record that the process stops; return the states before and after."""
        before = self.state
        self._chart.fire("stop")
        return before, self.state

    def _trigger(self, facts):
        if facts.superseded:
            return "superseded"
        if self.state == "starting":
            return "caught_up" if facts.caught_up else None
        if facts.draining:
            return "drain"
        if self.state == "draining":
            return "drain_ended"
        return "lease_held" if facts.lease_held else "lease_lost"


class PauseDetector:
    """Detect that this process was frozen, from the times at which it ran.

    A process can detect a freeze only afterwards. The resulting event shows an
    operator why a lease expired although nothing else had failed.
    """

    def __init__(self, now_s, interval_s):
        self._last_run_s = now_s
        self._interval_s = interval_s

    def record_run(self, now_s):
        """Record a run; return the preceding pause in seconds, or ``None``."""
        paused_s = now_s - self._last_run_s - self._interval_s
        self._last_run_s = now_s
        return paused_s if paused_s > MIN_PAUSE_S else None
