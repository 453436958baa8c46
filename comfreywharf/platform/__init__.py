"""The adapter to the operators' platform: it translates and makes no decisions.

The names of the platform's messages, settings and headers are used in this
subpackage only. Each message is decoded once, into the product's own types.
"""
