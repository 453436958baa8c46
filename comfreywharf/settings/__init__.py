"""The settings of a node, read from an INI file that is checked as a whole."""

from comfreywharf.settings.document import Document, read_document
from comfreywharf.settings.findings import Finding, suggest
from comfreywharf.settings.model import Address, NodeSettings
from comfreywharf.settings.reader import SECTIONS, read_settings
from comfreywharf.settings.schema import Key, check_names, read_keys

__all__ = [
    "SECTIONS",
    "Address",
    "Document",
    "Finding",
    "Key",
    "NodeSettings",
    "check_names",
    "read_document",
    "read_keys",
    "read_settings",
    "suggest",
]
