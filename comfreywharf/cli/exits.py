"""The exit codes of the tool, and the errors that lead to them."""

from enum import IntEnum

__all__ = ["CommandError", "ExitCode"]


class ExitCode(IntEnum):
    """The exit codes of the tool; docs/tool.md explains them."""

    FINE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


class CommandError(Exception):
    """A command fails with a message and an exit code."""

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code
