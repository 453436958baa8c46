"""Gossip of records, snapshots, routes and notices, and the connections between nodes.

Other subpackages use `Gossip`, `Notices`, `RelayClient`, and `Peers`, which holds the
connections to the other nodes by their ids.
"""
