"""The keys of a service's section, and conversions of services to and from texts."""

from returns.result import Failure, Result, Success

from comfreywharf.records import ServiceConfig
from comfreywharf.records.validation import MAX_BODY_BYTES, MAX_SERVICES, MAX_SLICES
from comfreywharf.settings.kinds import IntegerKind, NameKind, NumberKind, YesNoKind
from comfreywharf.settings.schema import Key

__all__ = [
    "MAX_SERVICES",
    "NAME_KIND",
    "SERVICE_KEYS",
    "contradictions",
    "service_from_fields",
    "service_to_fields",
]

MAX_REQUEST_MS = 3_600_000
MAX_LEASE_MS = 60_000
MAX_WEIGHT = 1000.0
MAX_QUEUE_LENGTH = 100_000

NAME_KIND = NameKind()

SERVICE_KEYS = (
    Key("divided_by_key", YesNoKind()),
    Key("slices", IntegerKind(1, MAX_SLICES)),
    Key("default_timeout_ms", IntegerKind(1, MAX_REQUEST_MS, "ms")),
    Key("longest_request_ms", IntegerKind(1, MAX_REQUEST_MS, "ms")),
    Key("unavailable_weight", NumberKind(0.0, MAX_WEIGHT)),
    Key("churn_weight", NumberKind(0.0, MAX_WEIGHT)),
    Key("queue_length", IntegerKind(0, MAX_QUEUE_LENGTH)),
    Key("retry_fraction", NumberKind(0.0, 1.0)),
    Key("max_body_bytes", IntegerKind(0, MAX_BODY_BYTES, "bytes")),
    Key("longest_lease_ms", IntegerKind(0, MAX_LEASE_MS, "ms")),
)

LEFT_OUT_AT_DEFAULT = frozenset({"longest_lease_ms"})
"""Keys that are written only with another value than their default. A node of an
earlier build doesn't know them and refuses a declaration that has them."""

_KEYS_BY_NAME = {key.name: key for key in SERVICE_KEYS}


def service_to_fields(service):
    """Return a service's values as texts by key, as in an INI file.

    >>> service_to_fields(ServiceConfig(name="booking"))["divided_by_key"]
    'yes'
    """
    default = ServiceConfig(name=service.name)
    return {
        key.name: key.kind.write(getattr(service, key.name))
        for key in SERVICE_KEYS
        if key.name not in LEFT_OUT_AT_DEFAULT
        or getattr(service, key.name) != getattr(default, key.name)
    }


def service_from_fields(name, fields) -> Result[ServiceConfig, list[str]]:
    """Return ``Success(ServiceConfig)``, or ``Failure`` with the errors in the texts.

    This checks services that arrive over the network. Files are checked by
    `read_declarations`, which reports line numbers.
    """
    errors = []
    values = {}
    if not _is_valid(NAME_KIND, name):
        errors.append(f"service name: found {name!r}; expected {NAME_KIND.expected}")
    for key, text in fields.items():
        if key not in _KEYS_BY_NAME:
            errors.append(f"{name}.{key}: expected one of {', '.join(_KEYS_BY_NAME)}")
            continue
        kind = _KEYS_BY_NAME[key].kind
        if _is_valid(kind, text):
            values[key] = kind.read(text)
        else:
            errors.append(f"{name}.{key}: found {text!r}; expected {kind.expected}")
    service = ServiceConfig(name=str(name), **values)
    errors += [f"{name}.{key}: {expected}" for key, expected in contradictions(service)]
    return Failure(errors) if errors else Success(service)


def contradictions(service):
    """Yield ``(key, expected)`` for each value that contradicts another one."""
    if service.default_timeout_ms > service.longest_request_ms:
        limit = service.longest_request_ms
        yield "default_timeout_ms", f"at most longest_request_ms, which is {limit}"
    if service.unavailable_weight == service.churn_weight == 0:
        yield "churn_weight", "one of the two weights above 0"


def _is_valid(kind, text):
    if not isinstance(text, str):
        return False
    try:
        kind.read(text)
    except ValueError:
        return False
    return True
