"""API keys of client accounts and their digests."""

from egretmill.accounts.keys import KEY_PREFIX, digest_key, new_key

__all__ = ('KEY_PREFIX', 'digest_key', 'new_key')
