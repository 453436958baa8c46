"""Requests on their way: from the caller's connection to the backend server and back.

The others use `Ingress` and `CallerServer` where requests come in, `Forwarder` where
they are passed on, and `Load`, `Routes` and `NodeMemory`, which they ask.
"""
