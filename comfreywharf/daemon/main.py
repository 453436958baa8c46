"""The command ``comfreywharfd``."""

import signal
import sys
from pathlib import Path

import gevent
from absl import logging
from cyclopts import App
from gevent.event import Event
from returns.result import Failure

from comfreywharf import __version__
from comfreywharf.daemon.node import Node
from comfreywharf.settings import read_settings

__all__ = ["app", "main"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3

app = App(
    name="comfreywharfd",
    version=__version__,
    help="Run a comfreywharf node beside a backend server.",
)


@app.default
def run(*, settings: Path, check: bool = False):
    """Run the node until it is told to stop.

    Parameters
    ----------
    settings
        The INI file; see examples/.
    check
        Only check the settings: print all findings and exit with 2 if there
        are any.
    """
    read = read_settings(settings)
    if isinstance(read, Failure):
        for finding in read.failure():
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print(f"{settings}: no findings")
        return
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    node = Node(read.unwrap())
    try:
        node.start()
    except OSError as error:
        # The settings themselves are valid: the host belongs to another machine,
        # or another process uses the port.
        print(f"{settings}: can't listen: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    node.stop("signal")


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
