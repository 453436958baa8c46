"""The command: ``python -m comfreywharf_dev.soak --seeds 1-50``."""

import sys
from pathlib import Path

from cyclopts import App

from comfreywharf_dev.soak.run import RunSize, run_seed

FOLDER = Path("run/soak")

app = App(name="comfreywharf-soak", help="Play seeded runs of faults.")


@app.default
def run_seeds(
    *, seeds: str = "1-50", nodes: int = 6, faults: int = 10, folder: Path = FOLDER
):
    """Run the seeds one after the other; exit with 1 if an invariant was broken.

    Parameters
    ----------
    seeds
        One seed, or the first and the last: ``7`` or ``1-50``.
    nodes
        Number of nodes of a run, each with a backend server.
    faults
        Number of faults of a run.
    folder
        Where runs keep their files; those of failed runs are kept.
    """
    first, _, last = seeds.partition("-")
    size = RunSize(nodes=nodes, slices=2 * nodes, faults=faults)
    failed_runs = 0
    for seed in range(int(first), int(last or first) + 1):
        result = run_seed(seed, folder / str(seed), size)
        failed_runs += not result.passed
        _print(result)
    sys.exit(1 if failed_runs else 0)


def _print(result):
    verdict = "kept" if result.passed else "BROKEN"
    print(f"seed {result.seed}: {verdict}, {result.answered} answered", flush=True)
    if result.passed:
        return
    for one in result.schedule:
        print(f"  {one.begin_s:6.2f} to {one.end_s:6.2f} s  {one.fault}")
    for problem in result.problems:
        print(f"  {problem}")


if __name__ == "__main__":
    app()
