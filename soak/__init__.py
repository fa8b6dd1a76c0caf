"""Randomized fault soak: real host programs under faults from outside."""
