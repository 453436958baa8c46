"""Run a node whose wall clock has an offset that can change while it runs.

The two functions of the standard library that read the wall clock are replaced
before the node is imported, so that the product needs no hook for this. The
monotonic clock isn't changed, as when an operator sets a machine's time.
"""

import sys
import time
from pathlib import Path

__all__ = ["main", "shift_wall_clock"]


def shift_wall_clock(path):
    """Add the seconds in a file to the wall clock.

    The file is read at each reading of the clock; without it the offset is 0.
    """
    read_s, read_ns = time.time, time.time_ns

    def offset_s():
        try:
            return float(Path(path).read_text(encoding="ascii"))
        except (OSError, ValueError):
            return 0.0

    time.time = lambda: read_s() + offset_s()
    time.time_ns = lambda: read_ns() + int(offset_s() * 1e9)


def main():
    """Run a node; the arguments are ``OFFSET-FILE`` and the node's own."""
    shift_wall_clock(sys.argv.pop(1))
    from comfreywharf.daemon.main import main as run_node

    run_node()


if __name__ == "__main__":
    main()
