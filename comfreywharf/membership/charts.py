"""State charts that are stored in TOML files and interpreted by `transitions`.

`transitions` (MIT) is used instead of `sismic` (LGPL, has its own clock) and
`python-statemachine` (charts are classes), so that charts are data and the
current time is an argument of the calling code.
"""

import logging
import tomllib
from importlib.resources import files

from transitions import Machine, MachineError

__all__ = ["Chart", "load_chart"]

# The library logs each callback that it evaluates. The node's events already
# report the transitions.
logging.getLogger("transitions").setLevel(logging.WARNING)


class Chart:
    """An instance of a chart: its current state, changed by triggers."""

    def __init__(self, definition):
        self._machine = Machine(
            model=self,
            states=definition["states"],
            initial=definition["initial"],
            transitions=definition["transitions"],
            auto_transitions=False,
            send_event=False,
        )

    def fire(self, name):
        """Fire a trigger; return whether it was allowed and caused a transition."""
        try:
            return bool(self.trigger(name))
        except MachineError:
            return False


def load_chart(package, name):
    """Return the definition for a `Chart` from a TOML file of a package."""
    text = files(package).joinpath(name).read_text("utf-8")
    return tomllib.loads(text)
