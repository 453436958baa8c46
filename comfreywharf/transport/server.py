"""The node-to-node server: one greenlet for each connection."""

from absl import logging
from gevent.server import StreamServer
from thrift.protocol.TProtocol import TProtocolException
from thrift.transport.TTransport import TTransportException

from comfreywharf.transport.gen import Node
from comfreywharf.transport.sockets import protocol_over
from comfreywharf.transport.stamps import NoStamps, StampedHandler

__all__ = ["PeerServer"]

MAX_CONNECTIONS = 4096


class PeerServer:
    """Serve the thrift interface ``Node`` with a handler object.

    ``on_bad_peer(address, error)`` is called if the data on a connection isn't
    thrift, has the wrong version or an invalid length. Only that connection is
    closed.
    """

    def __init__(self, host, port, handler, on_bad_peer, stamps=None):
        stamped = StampedHandler(handler, stamps or NoStamps())
        self._processor = Node.Processor(stamped)
        self._on_bad_peer = on_bad_peer
        self._server = StreamServer(
            (host, port), self._serve, backlog=1024, spawn=MAX_CONNECTIONS
        )

    def start(self):
        """Listen; raises `OSError` if the address is taken."""
        self._server.start()

    @property
    def port(self):
        """Return the port that the server listens on, also if the system chose it."""
        return self._server.server_port

    def stop(self):
        """Stop listening and close the connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address):
        protocol = protocol_over(sock)
        try:
            while True:
                self._processor.process(protocol, protocol)
        except TTransportException as error:
            if error.type != TTransportException.END_OF_FILE:
                self._on_bad_peer(address, error)
        except (TProtocolException, EOFError, ValueError, TypeError) as error:
            self._on_bad_peer(address, error)
        except OSError as error:
            logging.debug("connection from %s closed: %s", address, error)
        finally:
            protocol.trans.close()
