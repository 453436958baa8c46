"""The backend server beside the node: announcement, connections, lifecycle, drain.

Other packages use `Backend`, `Announcement` and `BackendLife`, and `tell_draining`,
which records in the log that the backend server leaves or takes work again.
"""
