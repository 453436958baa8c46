"""The interfaces for operators: HTTP pages, events, request log lines and metrics.

Other packages use `OperatorPort`, `Reporter`, `Decisions` and `Meter`; `JsonPort`
serves any HTTP interface with JSON documents.
"""
