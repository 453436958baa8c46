"""Which nodes there are, and what they tell each other unasked.

The others use `Gossip`, `Notices`, `Relaying` and `Peers`, the connections to the
other nodes by their ids.
"""
