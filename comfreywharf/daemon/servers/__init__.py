"""The backend server beside the node: announcement, connections, lifecycle, drain.

Other packages use `Backend`, `Announcement`, `BackendLifecycle` and `record_draining`;
the last one records in the log that the backend server leaves or takes work again.
"""
