"""The log of records: reading it, appending to it, and the snapshots of its state.

The others use `Follower`, which folds what the log says, and `LogClient` with its
errors, behind which a platform puts its own store.
"""
