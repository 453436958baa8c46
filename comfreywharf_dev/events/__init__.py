"""Checks that the code, the catalogue of events and docs/events.md agree."""
