"""What operators and on-call engineers see: pages, events, lines and metrics.

The others use `OperatorPort`, `Reporter`, `Decisions` and `Meter`; `JsonPort` is what
pages for programs are served by.
"""
