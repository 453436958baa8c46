"""The node's process, which runs beside a backend server on the platform."""

import os
import signal
import sys

import gevent
from absl import logging
from gevent.event import Event
from returns.result import Failure

from comfreywharf.clock import PROCESS_START_S
from comfreywharf.daemon.node import Node
from comfreywharf.platform.ports import PlatformPorts
from comfreywharf.platform.settings import BOOT_VARIABLE, read_boot_file

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3


def main():
    """Run a node with the settings file that the environment names."""
    path = os.environ.get(BOOT_VARIABLE, "")
    read = read_boot_file(path)
    if isinstance(read, Failure):
        for finding in read.failure():
            print(finding, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    settings = read.unwrap()
    ports = PlatformPorts(settings)
    node = Node(settings.node, ports, PROCESS_START_S)
    try:
        node.start()
    except OSError as error:
        print(f"{path}: can't listen: {error}", file=sys.stderr)
        sys.exit(EXIT_CANNOT_LISTEN)
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    gevent.signal_handler(signal.SIGHUP, lambda: None)
    stopped.wait()
    node.stop_within(settings.grace_s, ports.caller_server)
