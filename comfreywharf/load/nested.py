"""Calls that a backend server makes while it runs requests.

A server sends its calls to the node beside it, where callers on the same machine send
their requests, and nothing in a call says whose it is.
"""

__all__ = ["ConnectionOrigin"]


class ConnectionOrigin:
    """Whether the requests on a connection may be calls of the server beside the node.

    A server doesn't call its own service. A connection that has carried a request for
    that service is therefore a caller's.

    >>> origin = ConnectionOrigin()
    >>> origin.may_be_nested("stock", backend_service="booking")
    True
    >>> origin.may_be_nested("booking", backend_service="booking")
    False
    >>> origin.may_be_nested("stock", backend_service="booking")
    False
    """

    def __init__(self):
        self._is_callers = False

    def may_be_nested(self, service, backend_service):
        """Return whether a request for a service may be a call of the server."""
        if service == backend_service:
            self._is_callers = True
        return not self._is_callers
