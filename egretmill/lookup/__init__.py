"""Client blocks, placement of callers, look-up answers."""
