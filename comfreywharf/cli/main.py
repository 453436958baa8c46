"""The entry point of the command ``comfreywharf``."""

import sys

from cyclopts import App, CycloptsError

from comfreywharf import __version__
from comfreywharf.cli import (
    config,
    doctor,
    evacuations,
    events,
    explain,
    keys,
    nodes,
    outliers,
    quarantine,
    timeline,
)
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import print_to_stderr

__all__ = ["app", "main", "run"]

EPILOGUE = (
    "Exit codes: 0 fine, 1 refused or something needs a look, 2 bad input, "
    "3 no answer. Any node may be asked; set COMFREYWHARF_NODE to spare --node."
)

app = App(
    name="comfreywharf",
    version=__version__,
    help="Operate comfreywharf, a router for servers that own their keys.",
    help_epilogue=EPILOGUE,
    result_action="return_value",
)
app.register_install_completion_command(add_to_startup=False)

for _module in (
    *(nodes, keys, config, quarantine, evacuations),
    *(events, timeline, explain, outliers, doctor),
):
    _module.register(app)


def run(tokens=None):
    """Run one command and return its exit code."""
    try:
        code = app(tokens, exit_on_error=False, print_error=False)
    except CycloptsError as error:
        print_to_stderr(f"{error}\nSee: comfreywharf --help")
        return ExitCode.BAD_INPUT
    except CommandError as error:
        print_to_stderr(error)
        return error.code
    except BrokenPipeError:
        return ExitCode.FINE
    return code if isinstance(code, ExitCode) else ExitCode.FINE


def main():
    """Run the command line."""
    sys.exit(run())


if __name__ == "__main__":
    main()
