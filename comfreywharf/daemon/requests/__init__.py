"""The path of a request: from the caller's connection to the backend server and back.

Other packages use `Ingress` and `CallerServer` to accept requests, `Forwarder` to
forward them, and `Load`, `Routes` and `NodeMemory` to query the state they depend on.
"""
