"""HTTP clients that send each request at most once, and servers without Nagle delay.

Other packages use `SingleSendClient`, `BoundClient` and `NodelayServer`, and the
functions that reset or shut down a connection.
"""
