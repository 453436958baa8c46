"""Write services in the format of declarations."""

from comfreywharf.declarations.fields import service_to_fields

__all__ = ["write_declarations"]


def write_declarations(services):
    """Return the text of a file that declares exactly these services.

    `read_declarations` returns the same services from this text, so that an
    operator can create the file from the configuration in force.
    """
    return "\n".join(_section(services[name]) for name in sorted(services))


def _section(service):
    lines = [f"[service {service.name}]"]
    lines += [f"{key} = {text}" for key, text in service_to_fields(service).items()]
    return "\n".join(lines) + "\n"
