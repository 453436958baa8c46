"""The memory of request ids that a new process of a node reports."""

from comfreywharf.ownership.tests.builders import KEYS, SERVICE, make_world
from comfreywharf.records import key_hash

KEY = KEYS[0]
ALWAYS_S = float("-inf")


def test_new_process_reports_its_memory_of_earlier_requests_as_incomplete():
    """Guards against a booking that is sent again and runs a second time at the next
    owner.

    A slice without an owner is assigned to a node, and a booking runs there. The
    planner moves the slice. The node's process is replaced, folds the log from its
    beginning, and releases the slice before its own lease has started. It must not
    treat the first assignment as new, since the memory of request ids ended with the
    earlier process."""
    world = make_world()
    node = world.nodes[world.role("owner", KEY)]
    start = world.folded_log().slice_at(SERVICE, key_hash(KEY)).start
    node.restart()
    node.fold_some(len(world.log))
    assert node.agent.table.memory_complete_since_s(SERVICE, start) > ALWAYS_S
