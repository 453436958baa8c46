"""The release of a slice by its earlier owner to its new owner."""

import attrs

__all__ = ["ReleaseDecision", "decide_release"]

RETRY_S = 0.01
OUTDATED_RETRY_S = 0.05


@attrs.frozen(kw_only=True)
class ReleaseDecision:
    """Whether a slice is released, and if not, when to repeat the request.

    ``notify_witnesses`` says that the witnesses first have to be sent a renewal with
    the portfolio epoch of the move.
    """

    released: bool
    retry_after_s: float = 0.0
    notify_witnesses: bool = False


def decide_release(table, state, service, start, epoch, now_s):
    """Decide on the new owner's request for a release.

    A release has three conditions. This node has folded the move, so that it has
    stopped serving the slice. A majority of the witnesses has renewed the lease
    with the portfolio epoch of the move: otherwise a standby with an older view
    could still be granted a claim for the slice, or hold one already. And, unless
    the backend server checks fences, no forwarded request can still take effect.
    """
    if state.next_offset <= epoch:
        return ReleaseDecision(released=False, retry_after_s=RETRY_S)
    slice_map = state.slices.get(service)
    slice_ = slice_map.at_start(start) if slice_map else None
    if slice_ is None or slice_.epoch != epoch:
        return ReleaseDecision(released=False, retry_after_s=OUTDATED_RETRY_S)
    table.stop_serving(service, start)
    if table.holder.lease.acknowledged_portfolio_epoch() < epoch:
        return ReleaseDecision(
            released=False, retry_after_s=RETRY_S, notify_witnesses=True
        )
    busy_until_s = table.inflight.busy_until_s(service, slice_.start, slice_.end, now_s)
    if busy_until_s > now_s and not table.fenced:
        retry_after_s = min(busy_until_s - now_s, RETRY_S)
        return ReleaseDecision(released=False, retry_after_s=retry_after_s)
    return ReleaseDecision(released=True)
