"""A valid settings file for tests, and ways to change a line of it."""

VALID = """\
# A node beside the first backend server of booking.
[node]
id = booking-1
host = 10.20.1.11
caller_port = 8080
peer_port = 7101
operator_port = 7102
backend_port = 7103
failure_domain = agenskalns
region = riga

[log]
address = 10.20.0.5:9200
stream = comfreywharf

[cluster]
seeds = 10.20.2.11:7101
    10.20.3.11:7101
lease_ms = 1000
drift_per_mille = 5

[callers]
memory_mb = 64
connections = 1000
requests = 400

[load]
choose_by_load = yes
fleet_admission = yes
place_by_work = yes
"""

INVALID_VALUES = {
    "id": ["", "two words", "../x", "a" * 65],
    "host": ["wharf.example", "10.0.0", "0.0.0.0", "", "224.0.0.1"],
    "caller_port": ["0", "65536", "-1", "80.5", "http", "", "7101"],
    "peer_port": ["70000", "x", "7102"],
    "operator_port": ["0", "1e3", "7103"],
    "backend_port": ["99999999999999999999", "+1"],
    "failure_domain": ["", "a b"],
    "region": ["/"],
    "address": ["10.20.0.5", "log:9200", "10.20.0.5:0", "1:2:3:4", "[::1:7"],
    "stream": ["a/b", ""],
    "seeds": ["10.20.2.11", "10.0.0.1:1 10.0.0.1:1", "a:1", "10.0.0.1:1,10.0.0.2:1"],
    "lease_ms": ["199", "10001", "1 s", ""],
    "drift_per_mille": ["-1", "51", "0.5"],
    "memory_mb": ["", "3", "64 MB"],
    "connections": ["0", "-1", "many"],
    "requests": ["0", "1000001"],
    "choose_by_load": ["", "maybe", "2"],
    "fleet_admission": ["", "maybe", "2"],
    "place_by_work": ["", "maybe", "2"],
}
"""Invalid values of each key; some are the port of another key."""


def line_of(text, key):
    """Return the number of the line that sets a key."""
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith(f"{key} ="):
            return number
    raise KeyError(key)


def with_line(text, number, line):
    """Return the text with one line replaced."""
    lines = text.splitlines()
    lines[number - 1] = line
    return "\n".join(lines) + "\n"


def with_inserted(text, number, line):
    """Return the text with a line inserted before another."""
    lines = text.splitlines()
    lines.insert(number - 1, line)
    return "\n".join(lines) + "\n"
