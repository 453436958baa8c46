"""The one clock by which leases, holds and deadlines are counted."""

import time

__all__ = ["PROCESS_BEGAN_S", "boottime_s"]


def boottime_s():
    """Return the seconds since boot, those of a suspension included.

    `time.monotonic` stands still while a machine is suspended. A node that woke
    after 6 s would take a lease of 1 s for valid that ended long ago, and its
    backend server and the next owner's would run requests for one key. The time
    of day counts a suspension too, but it jumps. Unit: seconds; no errors.
    Source: clock_gettime(2), ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_BEGAN_S = boottime_s()
"""When this process began, if this module is imported first. All that an earlier
process of the node granted or promised lies before it."""
