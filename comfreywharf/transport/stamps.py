"""Event clocks on the messages between nodes, set and read here only."""

from abc import ABC, abstractmethod

__all__ = ["NoStamps", "Stamps", "StampedHandler"]

_SENDER_FIELDS = ("node_id", "ingress_node_id", "taker_id", "asker_id")


class Stamps(ABC):
    """Provide the event clock of outgoing messages, and receive that of others.

    Each message with a field ``event_clock`` carries a time of the sender's
    `comfreywharf.events.EventClock`. It orders later events of the receiver after
    earlier events of the sender, even if the machines' clocks differ.
    """

    @abstractmethod
    def stamp(self):
        """Return the event clock for a message that is sent now."""

    @abstractmethod
    def receive(self, peer, received):
        """Merge a peer's event clock; ``peer`` names the peer in reports."""

    def set_on(self, message):
        """Set the event clock of a message that has the field."""
        if hasattr(message, "event_clock"):
            message.event_clock = self.stamp()

    def read_from(self, message, peer=""):
        """Receive the event clock of a message, if it has one."""
        received = getattr(message, "event_clock", None)
        if received:
            self.receive(peer or _sender_of(message), received)


class NoStamps(Stamps):
    """Set and merge no event clock, for programs that record no events."""

    def stamp(self):
        """Return 0, which stands for no event clock."""
        return 0

    def receive(self, peer, received):
        """Ignore the event clock."""


def _sender_of(message):
    for field in _SENDER_FIELDS:
        name = getattr(message, field, "")
        if name:
            return name
    return "unknown"


class StampedHandler:
    """Receive the event clock of each call's arguments, and set that of its answer."""

    def __init__(self, handler, stamps):
        self._handler = handler
        self._stamps = stamps

    def __getattr__(self, name):
        """Return the handler's method, wrapped to read and set event clocks."""
        method = getattr(self._handler, name)

        def stamped(*arguments):
            for argument in arguments:
                self._stamps.read_from(argument)
            answer = method(*arguments)
            self._stamps.set_on(answer)
            return answer

        # Stored as an attribute, so that later calls skip `__getattr__`.
        setattr(self, name, stamped)
        return stamped
