"""Stand-ins for the platform: a log service, a store and backend servers.

Each implements the protocol that docs/interfaces.md describes, over HTTP on
loopback, with switches that reproduce the failures of the real service.
"""
