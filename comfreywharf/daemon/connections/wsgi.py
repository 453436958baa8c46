"""The HTTP server of a node's ports."""

from gevent import pywsgi, socket

__all__ = ["NodelayServer"]


class NodelayServer(pywsgi.WSGIServer):
    """Serve a WSGI application at an IP address, without Nagle delay and without a log.

    ``options`` are those of `gevent.pywsgi.WSGIServer`.
    """

    def __init__(self, host, port, application, **options):
        # Without a name, the library looks the address up at its start, in a thread
        # of a pool that nothing else needs.
        super().__init__(
            (host, port),
            application,
            log=None,
            handler_class=NodelayHandler,
            environ={"SERVER_NAME": host},
            **options,
        )


class NodelayHandler(pywsgi.WSGIHandler):
    """A WSGI handler without Nagle delay that passes the socket to the application."""

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def log_request(self):
        """Do nothing; the library formats an access log line even without a log."""

    def get_environ(self):
        """Return the WSGI environment, with the caller's socket in it.

        ``PATH_INFO`` is percent-decoded, and an encoded space or line end in it would
        break the request to the backend server. The request target is therefore
        passed as the caller sent it.
        """
        environ = super().get_environ()
        environ["comfreywharf.socket"] = self.socket
        environ["comfreywharf.target"] = self.path
        return environ
