"""Contents of the block-wise resources, computed alike by servers and callers."""

import hashlib

DEFAULT_BLOCKS = 64
ETAG_BYTES = 8


def resource_body(path: str, blocks: int = DEFAULT_BLOCKS) -> bytes:
    """Return the whole body of a block-wise resource.

    Args:
        path: Path of the resource, with its leading slash.
        blocks: Number of 64-byte parts in the body.

    Returns:
        The body, which follows from the path alone.
    """
    parts = (_part(path, number) for number in range(blocks))
    return "".join(parts).encode()


def resource_etag(body: bytes) -> bytes:
    """Return the ETag of a body.

    Args:
        body: The whole body.

    Returns:
        The first bytes of its SHA-256 digest.
    """
    return hashlib.sha256(body).digest()[:ETAG_BYTES]


def _part(path, number):
    return hashlib.sha256(f"{path}:{number}".encode()).hexdigest()
