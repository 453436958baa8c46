"""The command ``python -m comfreywharf_dev.bench``."""

import sys

from cyclopts import App

from comfreywharf_dev.bench.runner import find_benchmarks, run_benchmark

__all__ = ["app"]

app = App(name="bench", help="Run benchmarks and compare them with their bounds.")


@app.default
def run(*names: str, list_names: bool = False):
    """Run the named benchmarks, or all of them, one after another.

    Exits with 1 if a bound is broken or a benchmark fails.

    Parameters
    ----------
    names
        The benchmarks to run; all if no name is given.
    list_names
        Only print the names.
    """
    found = find_benchmarks()
    if list_names:
        print("\n".join(sorted(found)))
        return
    unknown = sorted(set(names) - set(found))
    if unknown:
        print(
            f"unknown benchmarks: {', '.join(unknown)}; "
            f"known: {', '.join(sorted(found))}"
        )
        sys.exit(2)
    passed = [_run_and_print(name, found[name]) for name in names or sorted(found)]
    sys.exit(0 if all(passed) else 1)


def _run_and_print(name, function):
    record = run_benchmark(name, function)
    load = f"load {record.load_before:.1f} to {record.load_after:.1f}"
    stolen = f"{record.stolen_fraction:.0%} stolen"
    print(
        f"# {name}: {record.duration_s:.1f} s, {load} on {record.cores} cores, {stolen}"
    )
    for judged in record.judged:
        print(judged.line())
    if record.error:
        print(record.error)
    print(f"{'ok' if record.passed else 'FAILED'}: {record.write()}", flush=True)
    return record.passed


if __name__ == "__main__":
    app()
