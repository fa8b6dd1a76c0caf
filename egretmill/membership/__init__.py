"""Peers, incarnations, heartbeats, confirmation of versions."""
