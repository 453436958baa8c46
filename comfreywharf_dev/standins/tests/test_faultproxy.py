"""The faults of the proxy, observed from both ends of a real connection."""

import os

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from comfreywharf_dev.standins.faultproxy import (
    Direction,
    FaultControl,
    FaultProxy,
    Listener,
    Mode,
)
from comfreywharf_dev.standins.wsgi import make_server

LIMIT_S = 10.0
SILENCE_S = 0.1


class Echo:
    """A server that answers each message with the message in capitals."""

    def __init__(self):
        self.received = []
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def _serve(self, sock, address):
        while data := sock.recv(100):
            self.received.append(data)
            sock.sendall(data.upper())


def free_port():
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


@pytest.fixture
def setup():
    echo, proxy, port = Echo(), FaultProxy(), free_port()
    proxy.listen(Listener(port=port, target="b", target_port=echo.port))
    server = make_server("127.0.0.1", free_port(), proxy.control)
    server.start()
    control = FaultControl(server.server_port)
    control.set_sources({"a": os.getpid()})
    yield echo, control, port
    control.heal()
    server.stop()


def connect(port):
    sock = socket.create_connection(("127.0.0.1", port))
    sock.settimeout(LIMIT_S)
    return sock


def send_and_receive(sock, data):
    sock.sendall(data)
    return sock.recv(100)


def receives_nothing(sock):
    sock.settimeout(SILENCE_S)
    try:
        sock.recv(100)
        return False
    except TimeoutError:
        return True
    finally:
        sock.settimeout(LIMIT_S)


def test_bytes_pass_without_a_fault(setup):
    _, _, port = setup
    assert send_and_receive(connect(port), b"hello") == b"HELLO"


def test_a_cut_holds_bytes_until_it_is_healed(setup):
    """Bytes held back by a cut arrive late, also those of a new connection."""
    echo, control, port = setup
    sock = connect(port)
    send_and_receive(sock, b"one")
    control.cut("a", "b")
    sock.sendall(b"two")
    assert receives_nothing(sock)
    other = connect(port)
    other.sendall(b"three")
    assert receives_nothing(other)
    assert echo.received == [b"one"]
    control.heal()
    assert sock.recv(100) == b"TWO"
    assert other.recv(100) == b"THREE"


@pytest.mark.parametrize("direction", list(Direction))
def test_a_one_way_cut_stops_one_direction(setup, direction):
    """A request arrives if only the way back is cut, and not if the way there is."""
    echo, control, port = setup
    sock = connect(port)
    send_and_receive(sock, b"one")
    control.set_flow("a", "b", direction, mode=Mode.HOLD)
    sock.sendall(b"two")
    assert receives_nothing(sock)
    assert (b"two" in echo.received) == (direction is Direction.BACK)


def test_a_link_is_identified_by_the_connecting_process(setup):
    """A cut between other processes doesn't affect this link."""
    _, control, port = setup
    control.cut("c", "b")
    assert send_and_receive(connect(port), b"hello") == b"HELLO"


def test_swallowed_bytes_reset_the_connection_when_healed(setup):
    echo, control, port = setup
    sock = connect(port)
    send_and_receive(sock, b"one")
    control.cut("a", "b", Mode.SWALLOW)
    sock.sendall(b"two")
    assert receives_nothing(sock)
    control.heal()
    with pytest.raises(ConnectionResetError):
        sock.recv(100)
    assert echo.received == [b"one"]


def test_a_lost_answer_does_not_undo_the_request(setup):
    echo, control, port = setup
    control.lose_answers("a", "b", 1)
    with pytest.raises(ConnectionResetError):
        send_and_receive(connect(port), b"one")
    assert echo.received == [b"one"]
    assert send_and_receive(connect(port), b"two") == b"TWO"


def test_a_reset_closes_open_connections(setup):
    _, control, port = setup
    sock = connect(port)
    send_and_receive(sock, b"one")
    assert control.reset("a", "b") == 1
    with pytest.raises(ConnectionResetError):
        sock.recv(100)


def test_a_half_open_connection_stays_open_and_silent(setup):
    echo, control, port = setup
    sock = connect(port)
    send_and_receive(sock, b"one")
    assert control.half_open("a", "b") == 1
    sock.sendall(b"two")
    assert receives_nothing(sock)
    assert echo.received == [b"one"]


def test_a_delayed_link_delivers_late(setup):
    """The answer on a delayed link arrives late."""
    _, control, port = setup
    control.set_flow("a", "b", Direction.BACK, delay_s=0.3)
    slow = connect(port)
    slow.sendall(b"slow")
    gevent.sleep(0.05)
    assert receives_nothing(slow)
    assert slow.recv(100) == b"SLOW"
