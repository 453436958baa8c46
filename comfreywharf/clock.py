"""The clock that all leases, holds and deadlines use."""

import time

__all__ = ["PROCESS_START_S", "boottime_s"]


def boottime_s():
    """Return the time since boot in seconds, including time spent suspended.

    `time.monotonic` stops while a machine is suspended. A node that resumed
    after 6 s would still consider its 1 s lease valid, so that its backend
    server and the next owner's would both run requests for the same key. The
    wall clock includes suspensions too, but it can jump. No errors are raised.
    Source: clock_gettime(2), ``CLOCK_BOOTTIME``.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_START_S = boottime_s()
"""The start of this process, provided that this module is imported first. Everything
that an earlier process of the node granted or promised is older than this."""
