"""Tools to develop and test comfreywharf: stand-ins, demonstration, benchmarks.

The product never imports this package.
"""
