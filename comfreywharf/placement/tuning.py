"""Tuning of placement, for deployments that differ in the cost of a move."""

import attrs

from comfreywharf.placement.meter import SMOOTHING_S

__all__ = ["PlacementTuning"]


@attrs.frozen(kw_only=True)
class PlacementTuning:
    """Durations and switches of placement; durations are in seconds.

    ``warm_up_s`` is the time over which the load of a backend server is ramped up
    after its start, ``smoothing_s`` the time constant of measured rates. The
    first assignment of all slices waits ``first_nodes_wait_s`` for nodes to come up.
    Nodes report their load at most once per ``report_s``, and count hot keys over
    windows of ``hot_window_s``. Where ``cheap_moves`` is true, a move costs little: the
    planner reacts to smaller imbalances, sooner, and with an hourly budget that
    only runaway moves reach. With ``scale_by_speed``, a backend server's capacity is
    scaled by its measured speed instead of following from its slots alone.

    With ``by_work``, a slice weighs the slot time that its requests need, a server's
    speed follows from times of the same kind of request, and slices move only away
    from a server that needs more slots than it has, or to one that has joined. Nodes
    then report slot times; see `comfreywharf.placement.work`.
    """

    warm_up_s: float = 60.0
    smoothing_s: float = SMOOTHING_S
    first_nodes_wait_s: float = 0.0
    report_s: float = 1.0
    hot_window_s: float = 2.0
    cheap_moves: bool = False
    scale_by_speed: bool = False
    by_work: bool = False
