"""The node process: gevent greenlets and sockets around the pure decision code."""
