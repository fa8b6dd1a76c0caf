"""Peers, incarnations, share slot leases and confirmation of versions."""
