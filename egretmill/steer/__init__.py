"""The steer program: answers which entry hosts a caller should use."""
