"""An INI file as sections of values, each with its line number."""

from configparser import ConfigParser, Error

import attrs

from comfreywharf.settings.findings import Finding

__all__ = ["Document", "Entry", "Section", "read_document"]

MAX_FILE_BYTES = 1 << 20


@attrs.frozen(kw_only=True)
class Entry:
    """The value of a key and its line number."""

    value: str
    line: int


@attrs.frozen(kw_only=True)
class Section:
    """The line number of a section's heading, and its entries by key."""

    line: int
    entries: dict[str, Entry]


@attrs.define(kw_only=True)
class Document:
    """The content of a file, and the findings about it."""

    path: str
    sections: dict[str, Section] = attrs.Factory(dict)
    findings: list[Finding] = attrs.Factory(list)

    def add_finding(self, expected, found, section="", key="", line=None):
        """Add a finding at a key, a section, or a line."""
        if line is None:
            line = self._line(section, key)
        finding = Finding(
            path=self.path,
            line=line,
            section=section,
            key=key,
            found=found,
            expected=expected,
        )
        self.findings.append(finding)

    def _line(self, section, key):
        if section not in self.sections:
            return 0
        containing_section = self.sections[section]
        entry = containing_section.entries.get(key)
        return entry.line if entry else containing_section.line


def read_document(path):
    """Return the `Document` of a file; a file that can't be read is a finding."""
    document = Document(path=str(path))
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode("utf-8")
    except OSError as error:
        document.add_finding("a file that can be read", error.strerror)
        return document
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        document.add_finding("UTF-8 text", f"byte {data[error.start]:#x}", line=line)
        return document
    if len(data) > MAX_FILE_BYTES:
        document.add_finding(
            f"at most {MAX_FILE_BYTES} bytes", f"{len(data)} bytes or more"
        )
        return document
    parse_text(document, text)
    return document


def parse_text(document, text):
    """Fill a document from the text of an INI file.

    `ConfigParser` stops at the first syntax error and keeps no line numbers.
    Therefore the lines are indexed first, with the parser's own regular
    expressions; lines with errors are blanked, and the parser reads the rest.
    """
    index = _LineIndex(document)
    lines = text.split("\n")
    kept = [
        line if index.index_line(number, line) else ""
        for number, line in enumerate(lines, 1)
    ]
    parser = ConfigParser(
        interpolation=None,
        strict=False,
        default_section="",
        empty_lines_in_values=False,
    )
    try:
        parser.read_string("\n".join(kept), source=document.path)
    except Error as error:
        document.add_finding("an INI file", str(error))
        return
    for name in parser.sections():
        entries = {
            key: Entry(value=value, line=index.lines[name, key])
            for key, value in parser.items(name)
        }
        document.sections[name] = Section(line=index.lines[name, ""], entries=entries)


class _LineIndex:
    """The line of each section and key; syntax errors become findings."""

    def __init__(self, document):
        self.lines = {}
        self._document = document
        self._section = None
        self._key_indent = None

    def index_line(self, number, line):
        """Index one line and return whether the parser is to read it."""
        text = line.strip()
        if not text or text[0] in "#;":
            self._key_indent = None
            return True
        indent = len(line) - len(line.lstrip())
        if self._key_indent is not None and indent > self._key_indent:
            return True
        heading = ConfigParser.SECTCRE.match(text)
        if heading:
            return self._index_heading(number, heading["header"])
        return self._index_key(number, text, indent)

    def _index_heading(self, number, name):
        self._key_indent = None
        self._section = name
        first = self.lines.setdefault((name, ""), number)
        if first != number:
            self._document.add_finding(
                "each section once", f"again after line {first}", name, line=number
            )
        return True

    def _index_key(self, number, text, indent):
        match = ConfigParser.OPTCRE.match(text)
        if self._section is None or not match or not match["option"].strip():
            self._key_indent = None
            expected = "KEY = VALUE" if self._section else "a [SECTION] heading first"
            # A line without valid syntax may hold anything, such as a password
            # that was pasted by mistake. Its beginning is enough to find it.
            self._document.add_finding(
                expected, text[:24], self._section or "", line=number
            )
            return False
        key = match["option"].rstrip().lower()
        self._key_indent = indent
        first = self.lines.setdefault((self._section, key), number)
        if first != number:
            self._document.add_finding(
                "each key once", f"again after line {first}", self._section, key, number
            )
        return True
