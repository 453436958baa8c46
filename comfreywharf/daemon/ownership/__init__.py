"""Ownership of keys: leases, witnesses, claims, grants and planning rounds.

Other subpackages use `Leases`, `Witnessing` and `Planner`, and an implementation of
`KeyGrants`, which grants keys to the backend server.
"""
