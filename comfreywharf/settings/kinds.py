"""The kinds of values in INI files, and how each is parsed and formatted."""

import math
import re
from abc import ABC, abstractmethod
from ipaddress import IPv4Address

import attrs

from comfreywharf.settings.model import Address

__all__ = [
    "AddressKind",
    "AddressesKind",
    "HostKind",
    "IntegerKind",
    "Kind",
    "NameKind",
    "NumberKind",
    "PortKind",
    "YesNoKind",
]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
_DIGITS = re.compile(r"-?[0-9]{1,18}")
_YES_NO = {"yes": True, "no": False, "true": True, "false": False}
_YES_NO |= {"on": True, "off": False, "1": True, "0": False}


class Kind(ABC):
    """A kind of value, with its parser and formatter.

    `read` returns the value or raises `ValueError`; `expected` describes valid
    values in findings.
    """

    expected: str

    @abstractmethod
    def read(self, text):
        """Parse a text and return its value; raises `ValueError`."""

    def write(self, value):
        """Return the text of a value."""
        return str(value)


@attrs.frozen
class IntegerKind(Kind):
    """A whole number within bounds."""

    low: int
    high: int
    unit: str = ""

    @property
    def expected(self):
        """Return the description of valid values for findings."""
        unit = f" {self.unit}" if self.unit else ""
        return f"a whole number from {self.low} to {self.high}{unit}"

    def read(self, text):
        """Return the number."""
        if not _DIGITS.fullmatch(text):
            raise ValueError(text)
        value = int(text)
        if not self.low <= value <= self.high:
            raise ValueError(text)
        return value


@attrs.frozen
class PortKind(IntegerKind):
    """A TCP port."""

    low: int = 1
    high: int = 65535
    expected = "a port from 1 to 65535"


@attrs.frozen
class NumberKind(Kind):
    """A finite decimal number within bounds."""

    low: float
    high: float

    @property
    def expected(self):
        """Return the description of valid values for findings."""
        return f"a number from {self.low:g} to {self.high:g}"

    def read(self, text):
        """Return the number."""
        value = float(text)
        if not math.isfinite(value) or not self.low <= value <= self.high:
            raise ValueError(text)
        return value


@attrs.frozen
class YesNoKind(Kind):
    """A Boolean, written as yes or no."""

    expected = "yes or no"

    def read(self, text):
        """Return the Boolean."""
        try:
            return _YES_NO[text.lower()]
        except KeyError:
            raise ValueError(text) from None

    def write(self, value):
        """Return yes or no."""
        return "yes" if value else "no"


@attrs.frozen
class NameKind(Kind):
    """A name that is safe in paths, logs and file names."""

    expected = "a name of letters, digits, '_', '.' and '-', at most 64 long"

    def read(self, text):
        """Return the name."""
        if not _NAME.fullmatch(text):
            raise ValueError(text)
        return text


@attrs.frozen
class HostKind(Kind):
    """The IP number of this machine, as other machines reach it."""

    expected = "an IPv4 number that other nodes reach, such as 10.0.0.7"

    def read(self, text):
        """Return the number."""
        number = IPv4Address(text)
        if number.is_unspecified or number.is_multicast:
            raise ValueError(text)
        return str(number)


@attrs.frozen
class AddressKind(Kind):
    """An IP number and a port, such as 10.0.0.7:7001."""

    expected = "IP-NUMBER:PORT, such as 10.0.0.7:7001"

    def read(self, text):
        """Return the `Address`."""
        host, colon, port = text.rpartition(":")
        if not colon:
            raise ValueError(text)
        return Address(HostKind().read(host), PortKind().read(port))

    def write(self, value):
        """Return the address as text."""
        return f"{value.host}:{value.port}"


@attrs.frozen
class AddressesKind(Kind):
    """Addresses separated by blanks, without duplicates."""

    expected = "IP-NUMBER:PORT with blanks between, none twice"

    def read(self, text):
        """Return the addresses as a tuple."""
        addresses = tuple(AddressKind().read(word) for word in text.split())
        if len(set(addresses)) != len(addresses):
            raise ValueError(text)
        return addresses

    def write(self, value):
        """Return the addresses as one text, separated by blanks."""
        return " ".join(AddressKind().write(address) for address in value)
