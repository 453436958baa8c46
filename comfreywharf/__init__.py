"""A router for backend servers that own their keys exclusively.

The packages `records`, `ownership`, `placement`, `routing`, `membership` and
`events` contain the decision logic: they import no event loop, no sockets, no
clock and no global random generator. `transport`, `daemon` and `cli` connect
this logic to the network, the operating system and the operator.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
