"""Keep a small deployment running on loopback until it is interrupted."""

import signal
import sys
import tempfile
import time

from cyclopts import App

from comfreywharf_dev.standins.cluster import Cluster
from comfreywharf_dev.standins.deployments import riga_plans

__all__ = ["app", "environment", "main"]

QUERIED_NODE = "booking-1"

app = App(
    name="comfreywharf-playground",
    help="Run a log service, four nodes and their backend servers on loopback.",
)


def environment(cluster):
    """Return the environment variables with which the tool reaches a cluster."""
    plan = cluster.plans[QUERIED_NODE]
    return {
        "COMFREYWHARF_NODE": f"127.0.0.1:{plan.operator_port}",
        "CALLERS": f"http://127.0.0.1:{plan.caller_port}",
    }


@app.default
def run(*, minutes: float = 30.0):
    """Print where to connect, and run until interrupted.

    Parameters
    ----------
    minutes
        End by itself after this time.
    """
    # A shell starts background commands with this signal ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="comfreywharf-playground-") as folder:
        cluster = Cluster(folder, riga_plans(booking=3, files=1))
        try:
            cluster.start()
            for name, value in environment(cluster).items():
                print(f"export {name}={value}", flush=True)
            print(f"settings and logs: {folder}", file=sys.stderr, flush=True)
            time.sleep(minutes * 60)
        except KeyboardInterrupt:
            pass
        finally:
            cluster.stop()


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
