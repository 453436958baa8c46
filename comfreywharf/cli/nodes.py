"""Commands about nodes: status, drain, undrain."""

import getpass
import uuid
from typing import Annotated

import gevent
from cyclopts import App, Parameter

from comfreywharf.cli.client import other_nodes, query_all
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.cli.output import count_of, print_to_stderr, show, table
from comfreywharf.cli.submission import exit_code, outcome_command, submit_once
from comfreywharf.cli.target import Target
from comfreywharf.daemon.operating.documents import (
    NOT_SENT,
    DrainDocument,
    DrainOrder,
    NodeDocument,
    ServiceDocument,
    StatusDocument,
)

__all__ = ["register"]

WAIT_INTERVAL_S = 0.25


def register(app: App):
    """Add the commands to the tool."""
    app.command(status)
    app.command(drain)
    app.command(undrain)


def status(*, all_nodes: Annotated[bool, Parameter(negative="")] = False, at: Target):
    """Show the nodes and services as one node knows them.

    Exits with 1 where something needs a look: a slice without an owner, a node
    that doesn't answer, or one that is behind in its configuration.

    Example:

    `comfreywharf status --node 10.20.1.11:7102`

    `comfreywharf status --all-nodes --json`

    Parameters
    ----------
    all_nodes
        Ask each node as well: who answers, its lease, how far it has read.
    """
    client = at.client()
    own = client.get("/status", StatusDocument)
    nodes = client.get("/nodes", list[NodeDocument])
    services = client.get("/services", list[ServiceDocument])
    answers = []
    if all_nodes:
        answers = query_all(
            other_nodes(client), lambda node: node.get("/status", StatusDocument)
        )
    troubles = _troubles(own, services, answers)
    document = {
        "status": own,
        "nodes": nodes,
        "services": services,
        "answers": {node_id: _answer_document(answer) for node_id, answer in answers},
        "troubles": troubles,
    }
    show(document, at.json, _status_text(own, nodes, services, answers))
    for trouble in troubles:
        print_to_stderr(trouble)
    return ExitCode.REFUSED if troubles else ExitCode.FINE


def _answer_document(answer):
    return {"error": str(answer)} if isinstance(answer, CommandError) else answer


def _troubles(own, services, answers):
    troubles = []
    if not own.log_reachable:
        troubles.append(f"{own.node_id} can't reach the log service")
    if not own.log_read:
        troubles.append(f"{own.node_id} hasn't read the whole log yet")
    for service in services:
        if service.unowned_slices:
            slices = count_of(service.unowned_slices, "slice")
            troubles.append(f"{service.name}: {slices} without an owner")
        if not service.nodes:
            troubles.append(f"{service.name}: no backend server has announced itself")
    versions = [a.config_version for _, a in answers if isinstance(a, StatusDocument)]
    for node_id, answer in answers:
        if isinstance(answer, CommandError):
            troubles.append(f"{node_id} doesn't answer: {answer}")
        elif answer.config_version < max(versions):
            troubles.append(f"{node_id} is at version {answer.config_version}")
    return troubles


def _status_text(own, nodes, services, answers):
    parts = [
        f"asked {own.node_id}: configuration version {own.config_version}, log read "
        f"to offset {own.next_offset}, planner {own.planner_id or 'none'} "
        f"in term {own.planner_term}",
        table(
            ["node", "service", "domain", "region", "owned", "standby", "drains"],
            [
                [
                    node.node_id,
                    node.service,
                    node.failure_domain,
                    node.region,
                    node.owned_slices,
                    node.standby_slices,
                    node.draining,
                ]
                for node in nodes
            ],
        ),
        table(
            ["service", "by key", "nodes", "slices", "unowned", "moving", "no standby"],
            [
                [
                    service.name,
                    service.divided_by_key,
                    service.nodes,
                    service.slices,
                    service.unowned_slices,
                    service.moving_slices,
                    service.without_standby,
                ]
                for service in services
            ],
        ),
    ]
    if answers:
        parts.append(_answers_table(answers))
    return "\n\n".join(parts)


def _answers_table(answers):
    rows = []
    for node_id, answer in answers:
        if isinstance(answer, CommandError):
            rows.append([node_id, "no answer", "", "", "", "", ""])
        else:
            rows.append(
                [
                    node_id,
                    answer.state,
                    answer.lease,
                    answer.config_version,
                    answer.next_offset,
                    answer.log_reachable,
                    _backend_state(answer),
                ]
            )
    headings = ["node", "state", "lease", "version", "read to", "log", "server"]
    return table(headings, rows)


def _backend_state(answer):
    """Return what the backend server beside a node states about itself, in words."""
    states = ["leaves"] if answer.backend_leaves else []
    if answer.limit_per_s is not None:
        limited_s = answer.limited_ms / 1000
        states.append(f"takes {answer.limit_per_s:g}/s for {limited_s:.0f} s")
    return ", ".join(states)


def drain(node_id: str, *, author: str = "", wait_s: float = 0.0, at: Target):
    """Let a node hand over its keys and take no new work.

    The drain is a record in the log: it holds through any loss, until `undrain`
    or until the node's process is replaced.

    Example:

    `comfreywharf drain booking-3 --wait-s 30`

    Parameters
    ----------
    node_id
        The node, as `comfreywharf status` names it.
    author
        Who asks; your login name by default.
    wait_s
        Wait until the node owns no slice, at most this long, in seconds.
    """
    return _change_drain(node_id, author, wait_s, at, draining=True)


def undrain(node_id: str, *, author: str = "", at: Target):
    """Let a drained node take work again.

    Example:

    `comfreywharf undrain booking-3`
    """
    return _change_drain(node_id, author, 0.0, at, draining=False)


def _change_drain(node_id, author, wait_s, at, draining):
    client = at.client()
    order = DrainOrder(
        node_id=node_id, author=author or login_name(), record_id=uuid.uuid4().hex
    )
    path = "/drain" if draining else "/undrain"
    answer, document = submit_once(client, path, order, DrainDocument)
    code = exit_code(document)
    owned = answer.owned_slices if answer else -1
    if code == ExitCode.FINE and wait_s:
        owned = _wait_until_drained(client, node_id, wait_s)
        if owned:
            code = ExitCode.REFUSED
            print_to_stderr(
                f"{node_id} isn't empty after {wait_s:g} s; the drain goes on"
            )
    text = f"{node_id}: {'drain' if draining else 'undrain'} {document.verdict.value}"
    if document.reason == NOT_SENT:
        retry_after_s = document.retry_after_ms / 1000
        text += f": the log takes no records; order it again in {retry_after_s:g} s"
    elif document.reason:
        text += f" ({document.reason}); ask again with: {outcome_command(order)}"
    elif owned >= 0:
        text += f"; it owns {count_of(owned, 'slice')}"
    show({"submission": document, "owned_slices": owned}, at.json, text)
    return code


def _wait_until_drained(client, node_id, wait_s):
    for _ in range(max(1, int(wait_s / WAIT_INTERVAL_S))):
        owned = {
            node.node_id: node.owned_slices + node.awaited_slices
            for node in client.get("/nodes", list[NodeDocument])
        }.get(node_id, 0)
        if not owned:
            return 0
        gevent.sleep(WAIT_INTERVAL_S)
    return owned


def login_name():
    """Return the login name of the user, or ``operator`` if it is unknown."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"
