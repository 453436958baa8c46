"""Fingerprints that identify a repeated request by its content."""

import hashlib

__all__ = ["fingerprint"]

DIGEST_BYTES = 16


def fingerprint(service, key, method, path, body):
    """Return a hexadecimal digest that is equal for equal requests of any caller.

    It covers only what the backend server acts on, not the request id, headers and
    timeout, which a caller could vary. ``path`` includes the query; ``key`` and
    ``body`` are bytes. Of a streamed body, ``body`` is the first part. The digest
    is cryptographic: a caller who could construct a collision could have another
    caller's request quarantined.

    >>> fingerprint("files", b"", "GET", "/look", b"")[:8]
    'f66dc667'
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (service.encode(), key, method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
