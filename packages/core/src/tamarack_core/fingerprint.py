"""What names a request across its repeats, which bear a new id each time."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 12
"""Length of a fingerprint: 96 bits. Nobody makes another request with the fingerprint of a given
one, and among a million requests the chance of one equal pair is 1 in 10**17."""


def fingerprint(workspace: str | None, host: str, method: bytes, target: bytes, body: bytes) -> str:
    """Name a request by what stays the same when its caller sends it again.

    Ids, deadlines and other headers differ from one repeat to the next and are left out. The hash
    is cryptographic, so that no caller can make its request look like a stranger's; the workspace
    is part of it, so that equal requests of two workspaces have different names.

    Returns
    -------
    str
        24 hexadecimal digits, from which nothing can be read of path or body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES, person=b"request")
    for part in ((workspace or "").encode(), host.encode(), method, target, body):
        # With the length before each part, no two different lists of parts give the same bytes.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
