"""The options shared by all commands: the queried node and the output format."""

from typing import Annotated

import attrs
from cyclopts import Parameter

from comfreywharf.cli.client import NodeClient
from comfreywharf.cli.exits import CommandError, ExitCode
from comfreywharf.settings.kinds import AddressKind

__all__ = ["Target"]


@Parameter(name="*")
@attrs.frozen(kw_only=True)
class Target:
    """The options for the queried node, which may be any, and for the output."""

    node: Annotated[
        str,
        Parameter(
            env_var="COMFREYWHARF_NODE",
            help="IP number and operators' port of any node, as HOST:PORT.",
        ),
    ]
    json: Annotated[
        bool, Parameter(negative="", help="Print JSON instead of a table.")
    ] = False
    timeout_s: Annotated[
        float, Parameter(help="How long to wait for an answer, in seconds.")
    ] = 10.0

    def client(self):
        """Return a client of the node; raise `CommandError` for invalid options."""
        kind = AddressKind()
        try:
            address = kind.read(self.node)
        except ValueError:
            raise CommandError(
                ExitCode.BAD_INPUT,
                f"--node: found {self.node!r}; expected {kind.expected}",
            ) from None
        if not 0 < self.timeout_s <= 600:
            raise CommandError(
                ExitCode.BAD_INPUT,
                f"--timeout-s: found {self.timeout_s}; expected more than 0, "
                "at most 600",
            )
        return NodeClient(address.host, address.port, self.timeout_s)
