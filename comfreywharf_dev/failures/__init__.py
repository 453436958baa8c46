"""Failures injected into real processes, and checks of the invariants.

`callers` puts load on a cluster and records the result of each call; `invariants`
compares the results with the backend servers' ledger. Each test injects one failure
or a combination of failures.
"""
