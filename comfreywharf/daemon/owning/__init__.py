"""Who may serve a key: leases, witnesses, claims, grants, and the planner's rounds.

The others use `Leases`, `Witnessing` and `Planner`, and a `KeyGrants` for how a backend
server is told what it holds.
"""
