"""Submit a record once, and query its outcome if the answer is lost."""

import gevent

from comfreywharf.cli.client import AnswerLost, other_nodes
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.daemon.operating.documents import SubmissionDocument, Verdict

__all__ = ["exit_code", "outcome_command", "query_outcome", "submit_once"]

QUERY_INTERVAL_S = 0.5
MAX_QUERIES = 12


def submit_once(client, path, order, cls, base_version=None):
    """Post an order; return ``(answer or None, SubmissionDocument)``.

    ``base_version`` is the base of a patch; other records have none. Raises
    `CommandError` if no node answers.

    If the answer is lost, the record may or may not be in the log. Posting it
    again under a new id could append it twice, and posting it again under any id
    is unnecessary. Its outcome is queried by its id instead, at this node and
    then at the others, until a node has read the record.
    """
    try:
        others = other_nodes(client)
    except CommandError:
        others = []
    try:
        answer = client.post(path, order, cls)
        document = getattr(answer, "submission", answer)
    except AnswerLost:
        answer, document = None, None
    if document is None or document.verdict == Verdict.UNKNOWN:
        clients = [client, *(other for _, other in others if other != client)]
        document = query_outcome(clients, order.record_id, base_version) or document
    if document is None:
        raise CommandError(
            ExitCode.UNREACHABLE,
            "no node answers. Whether the record took effect isn't known; its id is "
            f"{order.record_id}. Ask again with: "
            f"{outcome_command(order, base_version)}",
        )
    return answer, document


def query_outcome(clients, record_id, base_version=None):
    """Query the outcome of a record at the nodes in turn, until it is known.

    Returns the last answer, or ``None`` if no node answered.
    """
    query = {} if base_version is None else {"base_version": base_version}
    document = None
    for number in range(MAX_QUERIES):
        client = clients[number % len(clients)]
        try:
            document = client.get(
                "/config/outcome",
                SubmissionDocument,
                record_id=record_id,
                **query,
            )
        except CommandError:
            pass
        else:
            if document.verdict != Verdict.UNKNOWN:
                return document
        gevent.sleep(QUERY_INTERVAL_S)
    return document


def outcome_command(order, base_version=None):
    """Return the command line that queries the outcome of a record."""
    command = f"comfreywharf config outcome {order.record_id}"
    return command if base_version is None else f"{command} --base {base_version}"


def exit_code(document):
    """Return the exit code for the outcome of a submission."""
    return ExitCode.FINE if document.verdict == Verdict.ACCEPTED else ExitCode.REFUSED
