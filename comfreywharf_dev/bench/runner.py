"""Find the benchmarks, run them sequentially, and store their results."""

import importlib
import os
import pkgutil
import traceback
from enum import Enum
from functools import partial
from pathlib import Path

import attrs
import orjson
import psutil

import comfreywharf_dev.bench
from comfreywharf.clock import boottime_s
from comfreywharf_dev.bench.figures import CheckedFigure, check_figures, read_bounds

__all__ = [
    "BOUNDS_FOLDER",
    "OUTPUT_FOLDER",
    "Record",
    "find_benchmarks",
    "run_benchmark",
]

BOUNDS_FOLDER = Path("bounds")
OUTPUT_FOLDER = Path("run/bench")


@attrs.frozen(kw_only=True)
class Record:
    """One run of one benchmark.

    ``load_before`` and ``load_after`` are the machine's load averages over one
    minute. ``stolen_fraction`` is the fraction of processor time that the host of a
    virtual machine withheld. They show whether other work may have influenced the
    figures.
    """

    benchmark: str
    judged: tuple[CheckedFigure, ...]
    duration_s: float
    load_before: float
    load_after: float
    stolen_fraction: float
    cores: int
    error: str = ""

    @property
    def passed(self):
        """Return whether the run had no error and every bound holds."""
        return not self.error and all(one.passed for one in self.judged)

    def write(self, folder=OUTPUT_FOLDER):
        """Write the record as JSON and return the path."""
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{self.benchmark}.json"
        path.write_bytes(self.encoded())
        return path

    def encoded(self):
        """Return the record as bytes of JSON."""
        document = attrs.asdict(self, value_serializer=_serialize_value)
        return orjson.dumps(document, option=orjson.OPT_INDENT_2)


def _serialize_value(instance, field, value):
    return value.value if isinstance(value, Enum) else value


def find_benchmarks():
    """Return the benchmarks by name, as functions without arguments.

    A module that can't be imported becomes a benchmark that fails, so that the
    others still run.
    """
    found = {}
    for module_info in pkgutil.iter_modules(comfreywharf_dev.bench.__path__):
        if module_info.ispkg or module_info.name.startswith("_"):
            continue
        name = f"comfreywharf_dev.bench.{module_info.name}"
        try:
            module = importlib.import_module(name)
        except ImportError as error:
            found[module_info.name] = partial(_raise_error, error)
            continue
        run = getattr(module, "run", None)
        if run is not None and run.__module__ == module.__name__:
            found[module_info.name] = run
    return found


def _raise_error(error):
    raise error


def run_benchmark(name, run, bounds_folder=BOUNDS_FOLDER):
    """Run a benchmark and return its `Record`; an exception is stored as its error."""
    bounds = read_bounds(bounds_folder, name)
    load_before = os.getloadavg()[0]
    times_before = psutil.cpu_times()
    start_s = boottime_s()
    figures, error = [], ""
    try:
        figures = list(run())
    except Exception:
        error = traceback.format_exc()
    return Record(
        benchmark=name,
        judged=tuple(check_figures(name, figures, bounds)),
        duration_s=boottime_s() - start_s,
        load_before=load_before,
        load_after=os.getloadavg()[0],
        stolen_fraction=_stolen_fraction(times_before, psutil.cpu_times()),
        cores=os.cpu_count(),
        error=error,
    )


def _stolen_fraction(before, after):
    passed_s = sum(after) - sum(before)
    return (after.steal - before.steal) / passed_s if passed_s > 0 else 0.0
