"""The rules that a service's declaration must satisfy for the fold to accept it."""

import attrs

__all__ = ["ServiceFinding", "check_patch", "check_service"]

MAX_SLICES = 16_384
MAX_TIME_MS = 24 * 3600 * 1000
MAX_QUEUE_LENGTH = 1 << 20
MAX_WEIGHT = 1e6
MAX_BODY_BYTES = 1 << 40
MAX_NAME_CHARS = 128
MAX_SERVICES = 256
"""How many services a configuration may have."""


@attrs.frozen(kw_only=True)
class ServiceFinding:
    """A value in a declaration that isn't allowed."""

    service: str
    field: str
    found: object
    expected: str

    def __str__(self):
        return (
            f"{self.service}: {self.field}: found {self.found!r}; "
            f"expected {self.expected}"
        )


def check_service(service):
    """Return a `ServiceFinding` for each value that isn't allowed.

    >>> from comfreywharf.records.services import ServiceConfig
    >>> [str(finding) for finding in check_service(
    ...     ServiceConfig(name="booking", slices=0))]
    ['booking: slices: found 0; expected 1 to 16384']
    """
    rules = [
        ("name", _is_name(service.name), f"1 to {MAX_NAME_CHARS} printable characters"),
        ("slices", _within(service.slices, 1, MAX_SLICES), f"1 to {MAX_SLICES}"),
        (
            "default_timeout_ms",
            _within(service.default_timeout_ms, 1, service.longest_request_ms),
            "1 to longest_request_ms",
        ),
        (
            "longest_request_ms",
            _within(service.longest_request_ms, 1, MAX_TIME_MS),
            f"1 to {MAX_TIME_MS}",
        ),
        (
            "longest_lease_ms",
            _within(service.longest_lease_ms, 0, MAX_TIME_MS),
            f"0 to {MAX_TIME_MS}",
        ),
        (
            "unavailable_weight",
            _within(service.unavailable_weight, 0, MAX_WEIGHT),
            f"0 to {MAX_WEIGHT:g}",
        ),
        (
            "churn_weight",
            _within(service.churn_weight, 0, MAX_WEIGHT),
            f"0 to {MAX_WEIGHT:g}",
        ),
        (
            "queue_length",
            _within(service.queue_length, 0, MAX_QUEUE_LENGTH),
            f"0 to {MAX_QUEUE_LENGTH}",
        ),
        ("retry_fraction", _within(service.retry_fraction, 0, 1), "0 to 1"),
        (
            "max_body_bytes",
            _within(service.max_body_bytes, 0, MAX_BODY_BYTES),
            f"0 to {MAX_BODY_BYTES}",
        ),
    ]
    return [
        ServiceFinding(
            service=service.name,
            field=field,
            found=getattr(service, field),
            expected=expected,
        )
        for field, holds, expected in rules
        if not holds
    ]


def check_patch(services):
    """Return the findings of a patch.

    ``services`` maps names to declarations, or to ``None`` for a removal.
    """
    findings = []
    for name, service in services.items():
        if service is None:
            continue
        findings += check_service(service)
        if service.name != name:
            findings.append(
                ServiceFinding(
                    service=name, field="name", found=service.name, expected=repr(name)
                )
            )
    return findings


def _is_name(name):
    return 0 < len(name) <= MAX_NAME_CHARS and name.isprintable()


def _within(value, least, most):
    return least <= value <= most
