"""Ways to decide, compared on drawn loads without a network.

Each comparison runs the product's own decisions in simulated time. It is seeded, so
that it always prints the same figures.
"""
