"""The randomized soak: real processes, faults from outside, promises checked.

``python -m comfreywharf_dev.soak --seeds 1-50`` plays one run a seed.
"""
