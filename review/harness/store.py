"""The stand-in store, with the platform's disruptions of it."""

import gevent

from comfreywharf_dev.standins import platform_store
from comfreywharf_dev.standins.platform_store import PlatformStore

__all__ = ["TroubledStore"]

SILENCE_S = 20.0


class TroubledStore(PlatformStore):
    """A store that can be down, and can forget the history of its topics.

    While ``down`` is set, calls are answered 503. `fall_silent_with` has the next
    append not answered, and carried out while the store is down.
    """

    def __init__(self):
        super().__init__()
        self.era = None
        self.down = False
        self.silent = False
        """Calls get no answer while it is set."""
        self.snapshots = 0
        """How often a node has written to a keyed topic."""
        self._late_s = None

    def fall_silent_with(self, late_s):
        """Go down with the next append, which is carried out ``late_s`` later."""
        self._late_s = late_s

    def forget(self):
        """Forget all records, but not the newest of each key."""
        for topic in self._topics.values():
            topic.expire()

    def _answer_call(self, environ, start_response):
        def start_unless_down(status, headers):
            start_response("503 Down" if self.down else status, headers)

        if self.silent:
            gevent.sleep(SILENCE_S)
        if self.down or self.silent:
            return platform_store._respond(start_response, 503, b"")
        return super()._answer_call(environ, start_unless_down)

    def _append(self, topic, body, start_response):
        self.snapshots += topic.keyed
        if self._late_s is None or topic.keyed:
            return super()._append(topic, body, start_response)
        records = platform_store._parse_records(body)
        gevent.spawn_later(self._late_s, topic.append, records)
        self._late_s, self.down = None, True
        gevent.sleep(SILENCE_S)
        return platform_store._respond(start_response, 503, b"")
