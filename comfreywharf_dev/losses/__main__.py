"""Print why requests are lost: ``python -m comfreywharf_dev.losses FILE...``."""

import sys
from pathlib import Path

from comfreywharf_dev.losses.table import read_losses


def main():
    """Read decision lines from files or standard input, and print the tables."""
    paths = sys.argv[1:]
    lines = sys.stdin
    if paths:
        lines = (line for path in paths for line in Path(path).open(encoding="utf-8"))
    losses = read_losses(lines)
    print(f"{'service':<12} {'decision':<9} {'reason':<24} {'count':>6} {'part':>6}")
    for service, decision, reason, count, part in losses.rows():
        print(f"{service:<12} {decision:<9} {reason:<24} {count:>6} {part:>6.1%}")
    print("\nsent again after: " + _counts(losses.resends))
    for window_start_s, counts in sorted(losses.by_window.items()):
        named = {f"{decision} {reason}": n for (decision, reason), n in counts.items()}
        print(f"{window_start_s:>8.1f} s  {_counts(named)}")
    if losses.unreadable:
        print(f"{losses.unreadable} lines of decisions can't be read")


def _counts(counts):
    ordered = sorted(counts.items(), key=lambda item: -item[1])
    return ", ".join(f"{name} {count}" for name, count in ordered)


if __name__ == "__main__":
    main()
