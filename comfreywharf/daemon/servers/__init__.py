"""The backend server beside the node: its announcement, its life, its leaving.

The others use `Backend`, `Announcement` and `BackendLife`, and `tell_draining`, which
has the log say that a server leaves.
"""
