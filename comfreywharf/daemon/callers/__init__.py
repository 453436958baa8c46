"""The HTTP server for callers: connections that stay open, and pipelined requests.

Other packages use `CallerServer`, which calls an application with each request, and
`CallerStream`, which separates the requests of one connection.
"""
