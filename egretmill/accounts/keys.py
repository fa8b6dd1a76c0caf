"""Creates API keys and their digests; only digests are stored."""

import hashlib
import secrets

__all__ = ('KEY_PREFIX', 'digest_key', 'new_key')

KEY_PREFIX = 'egk_'
# 24 random bytes (192 bits) make a plain SHA-256 digest safe against
# guessing, so the digest needs no salt and can be looked up in an index.
KEY_RANDOM_BYTES = 24


def new_key() -> str:
    """Return a new random key, to be shown to its owner once."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_RANDOM_BYTES)


def digest_key(key: str) -> str:
    """Return the digest of a key or token, as ``sha256:<hex>``."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'sha256:{digest}'
