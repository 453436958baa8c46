"""Tests of the tool with real processes: concurrent operators and lost answers."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from comfreywharf.declarations import write_declarations
from comfreywharf.records import ServiceConfig
from comfreywharf_dev.playground.main import environment
from comfreywharf_dev.standins.cluster import Cluster, http_json
from comfreywharf_dev.standins.deployments import riga_plans

pytestmark = pytest.mark.processes

LIMIT_S = 60


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("tool")
    with Cluster(folder, riga_plans(booking=3, files=1)) as running:
        yield running


def start(cluster, *words, node_id="booking-1"):
    port = cluster.plans[node_id].operator_port
    return subprocess.Popen(
        [sys.executable, "-m", "comfreywharf.cli.main", *words],
        env={**os.environ, "COMFREYWHARF_NODE": f"127.0.0.1:{port}"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def finish(process):
    output, _ = process.communicate(timeout=LIMIT_S)
    return process.returncode, output


def declare(cluster, slices):
    path = Path(cluster.folder) / f"services-{slices}.ini"
    services = {"booking": ServiceConfig(name="booking", slices=slices)}
    path.write_text(write_declarations(services), encoding="utf-8")
    return str(path)


def version(cluster):
    return cluster.status("booking-1")["config_version"]


def test_one_of_two_concurrent_submissions_is_accepted(cluster):
    """Only one of two concurrent submissions with the same base is accepted.

    Two operators submit at once through two nodes. Only the log orders the two, so
    a node that doesn't wait for the log's decision would report success to both.
    """
    base = version(cluster)
    submissions = [
        start(
            cluster,
            *("config", "submit", declare(cluster, slices), "--base", str(base)),
            node_id=node_id,
        )
        for slices, node_id in ((8, "booking-1"), (16, "booking-2"))
    ]
    codes, outputs = zip(*[finish(process) for process in submissions], strict=True)
    assert sorted(codes) == [0, 1], outputs
    refused_output = outputs[codes.index(1)]
    assert f"refused: built on version {base}" in refused_output
    assert version(cluster) == base + 1


def test_submission_is_applied_once_if_answers_are_lost(cluster):
    """A submission is applied once and succeeds when the log's answers are lost.

    The log writes the record, but its answer is lost several times. A lost answer
    doesn't say whether the write happened: treating it as a failure would make the
    operator submit again and create a second version.
    """
    base = version(cluster)
    http_json(cluster.log_port, "POST", "/switches", {"lose_answers": 3})
    words = ("config", "submit", declare(cluster, 32), "--base", str(base))
    code, output = finish(start(cluster, *words))
    assert (code, version(cluster)) == (0, base + 1), output
    assert f"accepted: version {base + 1}" in output


def test_environment_points_to_a_node_of_the_cluster(cluster):
    """The variables that the docs use point to a node of the cluster."""
    variables = environment(cluster)
    port = int(variables["COMFREYWHARF_NODE"].rpartition(":")[2])
    assert http_json(port, "GET", "/status")[2]["node_id"] == "booking-1"
