"""The output of the demonstration: steps, their checks, and a summary."""

import sys

from comfreywharf.clock import boottime_s

__all__ = ["StepPrinter"]

_GREEN, _RED, _BOLD, _OFF = "\033[32m", "\033[31m", "\033[1m", "\033[0m"


class StepPrinter:
    """Print steps and checks, and count the checks that failed."""

    def __init__(self, output=None):
        self._output = output or sys.stdout
        self._colours = self._output.isatty()
        self._started_s = boottime_s()
        self._number = 0
        self.checks = 0
        self.failed = 0

    def step(self, title):
        """Print the title of a new step and the time since the start."""
        self._number += 1
        elapsed_s = boottime_s() - self._started_s
        self._print("")
        self._print(self._paint(_BOLD, f"{self._number}. {title}  [{elapsed_s:.0f} s]"))

    def print_line(self, text):
        """Print a line of the current step."""
        self._print(f"   {text}")

    def check(self, holds, text):
        """Print a check and whether it passed; return whether it passed."""
        self.checks += 1
        self.failed += not holds
        mark = self._paint(_GREEN, "ok  ") if holds else self._paint(_RED, "FAIL")
        self._print(f"   {mark} {text}")
        return holds

    def end(self):
        """Print the summary and return the exit status."""
        elapsed_s = boottime_s() - self._started_s
        held = self.checks - self.failed
        self._print("")
        self._print(f"{held} of {self.checks} checks passed, in {elapsed_s:.0f} s.")
        return 0 if self.checks and not self.failed else 1

    def _paint(self, colour, text):
        return f"{colour}{text}{_OFF}" if self._colours else text

    def _print(self, line):
        print(line, file=self._output, flush=True)
