"""The head of a message between nodes is read completely or refused at once."""

import struct

import pytest
from hypothesis import given, settings, strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from comfreywharf.transport.sockets import protocol_over

VERSION_AND_CALL = 0x80010001


class OneFrame:
    """A socket that receives one frame and nothing more."""

    def __init__(self, content):
        self._unread = [struct.pack("!i", len(content)) + content]

    def setsockopt(self, *option):
        """Do nothing."""

    def recv(self, size):
        """Return the frame; raises `TimeoutError` for a further read."""
        if not self._unread:
            raise TimeoutError("waits for a further frame")
        return self._unread.pop()


@settings(derandomize=True, deadline=None)
@given(
    name=st.text(max_size=40),
    kind=st.integers(1, 4),
    seqid=st.integers(-(2**31), 2**31 - 1),
)
def test_a_head_written_by_the_library_is_read_back(name, kind, seqid):
    """Each head written by the library's own protocol is read back the same."""
    written = TMemoryBuffer()
    TBinaryProtocol(written).writeMessageBegin(name, kind, seqid)
    protocol = protocol_over(OneFrame(written.getvalue()))
    assert protocol.readMessageBegin() == (name, kind, seqid)


@settings(derandomize=True, deadline=None)
@given(cut=st.integers(4, 18))
def test_a_frame_that_ends_in_the_head_is_refused_at_once(cut):
    """Guards against a connection that is kept open forever.

    A peer sends a frame that ends within the message's head, and nothing more. Reading
    the rest through the transport would wait for the next frame.
    """
    written = TMemoryBuffer()
    TBinaryProtocol(written).writeMessageBegin("forward", 1, 7)
    protocol = protocol_over(OneFrame(written.getvalue()[:cut]))
    with pytest.raises(TProtocolException):
        protocol.readMessageBegin()


@pytest.mark.parametrize("start", [0x80020001, 7, 0x47455420])
def test_another_version_is_refused_at_once(start):
    """A frame that doesn't begin with the version raises, without waiting."""
    protocol = protocol_over(OneFrame(struct.pack("!I", start)))
    with pytest.raises(TProtocolException, match="version"):
        protocol.readMessageBegin()


def test_an_invalid_name_length_is_refused_at_once():
    """A length beyond the frame allocates no memory and waits for no data."""
    content = struct.pack("!Ii", VERSION_AND_CALL, -1)
    with pytest.raises(TException):
        protocol_over(OneFrame(content)).readMessageBegin()
