"""What a new process of a node says of requests that an earlier one ran."""

from comfreywharf.ownership.tests.builders import KEYS, SERVICE, make_world
from comfreywharf.records import key_hash

KEY = KEYS[0]
ALWAYS_S = float("-inf")


def test_a_new_process_vouches_for_nothing_that_an_earlier_one_ran():
    """Symptom: a booking that is sent again runs a second time, at the next owner.

    Sequence: a slice is given to a node while nobody owns it, and a booking runs
    there; the planner moves it; the node's process is replaced, folds the log from
    its beginning, and releases the slice before its own lease has begun.
    Cause: it took the first assignment for news, so that nothing could have run
    before, and vouched for a memory that had ended with the earlier process."""
    world = make_world()
    node = world.nodes[world.role("owner", KEY)]
    start = world.truth().owner_of(SERVICE, key_hash(KEY)).start
    node.restart()
    node.fold_some(len(world.log))
    assert node.agent.table.vouched_since_s(SERVICE, start) > ALWAYS_S
