"""Tables of refused and unknown requests, from the decision lines of nodes."""
