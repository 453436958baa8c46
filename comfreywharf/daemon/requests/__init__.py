"""The path of a request: from a caller to the backend server and back.

Other packages use `Ingress` to accept requests, `Forwarder` to forward them, and
`Load`, `Routes` and `NodeMemory` to query the state they depend on.
"""
