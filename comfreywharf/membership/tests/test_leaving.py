"""What a node remembers of leaving servers beside other nodes."""

from comfreywharf.membership.incarnations import ServerIncarnation
from comfreywharf.membership.leaving import (
    MAX_SERVERS,
    LeavingServer,
    LeavingServers,
)

FIRST = ServerIncarnation("i-1", 1_000)
SECOND = ServerIncarnation("i-1", 2_000)


def test_the_earliest_time_of_an_incarnation_counts():
    """Guards against a bound that moves on with each answer."""
    leaving = LeavingServers()
    for since_s in (7.0, 5.0, 9.0):
        leaving.record("n1", LeavingServer(FIRST, since_s))
    assert leaving.beside("n1") == LeavingServer(FIRST, 5.0)


def test_the_next_incarnation_has_a_time_of_its_own():
    """Guards against a new server that is closed by what the last one has said."""
    leaving = LeavingServers()
    leaving.record("n1", LeavingServer(FIRST, 5.0))
    leaving.record("n1", LeavingServer(SECOND, 30.0))
    assert leaving.beside("n1") == LeavingServer(SECOND, 30.0)
    assert leaving.beside("n2") is None


def test_the_memory_is_bounded():
    """Guards against a memory that grows with each machine that ever left."""
    leaving = LeavingServers()
    for number in range(MAX_SERVERS + 5):
        leaving.record(f"n{number}", LeavingServer(FIRST, 5.0))
    assert leaving.beside("n0") is None
    assert leaving.beside(f"n{MAX_SERVERS + 4}") is not None
