"""The randomized soak test: real processes, injected faults, checked invariants.

``python -m comfreywharf_dev.soak --seeds 1-50`` does one run for each seed.
"""
