"""HTTP as it is spoken here: clients that send once, servers that send at once.

The others use `SingleSendClient`, `BoundClient` and `NodelayHandler`, and the ways to
end a connection.
"""
