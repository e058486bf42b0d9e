"""Names a request by its content, whatever key it carries."""

import hashlib
import typing

_DIGEST_BYTES: typing.Final = 16


def of_call(service: str, method: str, path: str, body: bytes) -> str:
    """Return the digest of a request; a resend under a new key has it too."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f'{service}\n{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()
