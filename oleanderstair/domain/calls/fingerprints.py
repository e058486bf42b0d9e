"""Identifies requests by their content, independent of their key."""

import hashlib
import typing

_DIGEST_BYTES: typing.Final = 16


def request_fingerprint(
    service: str, method: str, path: str, body: bytes
) -> str:
    """Return the hexadecimal digest of a request.

    The key is left out, so that a resend under a new key has the same digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f'{service}\n{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()
