"""Continue the state in a new era of the log, after the log has lost records."""

import attrs

__all__ = ["continue_in_era"]


def continue_in_era(state, next_position):
    """Return a copy of a state that continues at a position of a new era.

    By records that are lost, keys may have had other owners than in this state. Every
    slice is renewed, so that the next owner's fence is above all that were in use. An
    owner whose range and lease stay the same keeps its fence.
    """
    continued = state.copy()
    continued.next_offset = next_position
    continued.lineage += 1
    epoch = next_position - 1
    for slice_map in continued.slices.values():
        slice_map.slices = [
            attrs.evolve(slice_, epoch=epoch) for slice_ in slice_map.slices
        ]
        slice_map.index()
    continued.members = {
        node_id: attrs.evolve(member, portfolio_epoch=epoch)
        for node_id, member in continued.members.items()
    }
    return continued
