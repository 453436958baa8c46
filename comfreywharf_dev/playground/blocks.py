"""Parse the commands in a page of the docs, with the output shown for each.

A line ``<!-- run -->`` before a code block selects it for the check. In the
shown output ``...`` matches anything, and any run of whitespace matches any other.
"""

import re
from doctest import ELLIPSIS, NORMALIZE_WHITESPACE, OutputChecker

import attrs

__all__ = ["ShownCommand", "matches", "shown_commands"]

_BLOCK = re.compile(r"^<!-- run -->\n```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_EXIT_CODE = re.compile(r"# exits with ([0-9]+)$")
PROMPT = "$ "


@attrs.frozen(kw_only=True)
class ShownCommand:
    """A command in a page, with the output and exit code that the page shows."""

    command: str
    output: str
    exit_code: int


def shown_commands(text):
    """Return the commands of the marked blocks of a page, in order."""
    found = []
    for block in _BLOCK.findall(text):
        for part in re.split(rf"^{re.escape(PROMPT)}", block, flags=re.MULTILINE)[1:]:
            command, _, output = part.partition("\n")
            code = _EXIT_CODE.search(command)
            found.append(
                ShownCommand(
                    command=command,
                    output=output,
                    exit_code=int(code[1]) if code else 0,
                )
            )
    return found


def matches(shown, output):
    """Return whether a command's output matches the shown one."""
    options = ELLIPSIS | NORMALIZE_WHITESPACE
    return OutputChecker().check_output(shown.output, output, options)
