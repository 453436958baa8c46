"""Read a file of declarations and report all findings together."""

from returns.result import Failure, Result, Success

from comfreywharf.declarations.fields import (
    MAX_SERVICES,
    NAME_KIND,
    SERVICE_KEYS,
    contradictions,
)
from comfreywharf.records import ServiceConfig
from comfreywharf.settings import Finding, read_document, read_keys

__all__ = ["read_declarations"]

HEADING = "service"


def read_declarations(path) -> Result[dict[str, ServiceConfig], list[Finding]]:
    """Return ``Success`` with the services by name, or ``Failure`` with findings.

    The file has a section ``[service NAME]`` for each service; missing keys have
    their defaults. The file declares the whole configuration, not a part of it.
    """
    document = read_document(path)
    services = {}
    if document.sections or not document.findings:
        services = _read_services(document)
    if document.findings:
        return Failure(sorted(document.findings, key=lambda finding: finding.line))
    return Success(services)


def _read_services(document):
    services = {}
    for section in document.sections:
        name = _service_name(document, section)
        values = read_keys(document, section, SERVICE_KEYS)
        if not name:
            continue
        service = ServiceConfig(name=name, **values)
        for key, expected in contradictions(service):
            document.add_finding(expected, str(getattr(service, key)), section, key)
        if name in services:
            document.add_finding("each service once", f"{name} again", section)
        services[name] = service
    if not services and not document.findings:
        document.add_finding("at least one section [service NAME]", None)
    if len(services) > MAX_SERVICES:
        document.add_finding(f"at most {MAX_SERVICES} services", str(len(services)))
    return services


def _service_name(document, section):
    words = section.split()
    if len(words) != 2 or words[0] != HEADING:
        document.add_finding("[service NAME]", f"[{section}]", section)
        return ""
    try:
        return NAME_KIND.read(words[1])
    except ValueError:
        document.add_finding(NAME_KIND.expected, words[1], section)
        return ""
