"""The log of records: reads, appends, and snapshots of the folded state.

Other subpackages use `Follower`, which folds the log's records into the cluster's
state, and `LogClient` with its errors. A platform can provide its own `LogClient`.
"""
