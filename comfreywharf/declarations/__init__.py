"""Declarations of services in INI files, and configuration patches made of them."""

from comfreywharf.declarations.differences import (
    Change,
    ServiceDifference,
    differences,
    make_patch,
)
from comfreywharf.declarations.fields import service_from_fields, service_to_fields
from comfreywharf.declarations.reader import read_declarations
from comfreywharf.declarations.writer import write_declarations

__all__ = [
    "Change",
    "ServiceDifference",
    "differences",
    "make_patch",
    "read_declarations",
    "service_from_fields",
    "service_to_fields",
    "write_declarations",
]
