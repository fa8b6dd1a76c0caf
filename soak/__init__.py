"""Randomized fault soak: runs host programs and injects faults."""
