"""Tables of refused and unknown requests, from the decisions that nodes log."""
