"""Submit a record once, and learn what became of it when the answer is lost."""

import gevent

from comfreywharf.cli.client import AnswerLost, other_nodes
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.daemon.operating.documents import SubmissionDocument, Verdict

__all__ = ["ask_again", "exit_code", "resolve", "submit_once"]

ASK_AGAIN_S = 0.5
ASK_AGAIN_TIMES = 12


def submit_once(client, path, order, cls, base_version=None):
    """Post an order; return ``(answer or None, SubmissionDocument)``.

    ``base_version`` is that of a patch; other records have none.

    An answer lost on the way says nothing of the record: it may be in the log.
    Posting it again under a new id could put it there twice, and posting it
    again at all is not needed. The record is asked for by its id instead, at
    this node and then at the others, until a node has read it.
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
        document = resolve(clients, order.record_id, base_version) or document
    if document is None:
        raise CommandError(
            ExitCode.UNREACHABLE,
            "no node answers. Whether the record took effect isn't known; its id is "
            f"{order.record_id}. Ask again with: {ask_again(order, base_version)}",
        )
    return answer, document


def resolve(clients, record_id, base_version=None):
    """Ask nodes in turn what became of a record; ``None`` if none answers."""
    query = {} if base_version is None else {"base_version": base_version}
    document = None
    for number in range(ASK_AGAIN_TIMES):
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
        gevent.sleep(ASK_AGAIN_S)
    return document


def ask_again(order, base_version=None):
    """Return the command that asks for a record."""
    command = f"comfreywharf config outcome {order.record_id}"
    return command if base_version is None else f"{command} --base {base_version}"


def exit_code(document):
    """Return the exit code of a submission."""
    return ExitCode.FINE if document.verdict == Verdict.ACCEPTED else ExitCode.REFUSED
