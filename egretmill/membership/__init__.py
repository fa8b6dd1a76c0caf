"""Membership of the fleet: peers, reachability and share slots."""
