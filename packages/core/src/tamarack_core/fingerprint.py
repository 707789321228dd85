"""Fingerprint that identifies a request across its repeats, each of which has a new id."""

from __future__ import annotations

from hashlib import blake2b

DIGEST_BYTES = 12
"""Length of a fingerprint: 96 bits. Finding another request with a given fingerprint is infeasible,
and among a million requests the probability of any collision is 1 in 10**17."""


def fingerprint(workspace: str | None, host: str, method: bytes, target: bytes, body: bytes) -> str:
    """Hash the fields of a request that stay the same when its caller sends it again.

    Ids, deadlines and other headers differ between repeats and are left out. The hash is
    cryptographic, so that no caller can forge the fingerprint of another caller's request; it
    includes the workspace, so that equal requests of two workspaces differ.

    Returns
    -------
    str
        24 hexadecimal digits that reveal nothing of path or body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES, person=b"request")
    for part in ((workspace or "").encode(), host.encode(), method, target, body):
        # A length prefix makes the concatenation unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
