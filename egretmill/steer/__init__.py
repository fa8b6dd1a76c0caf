"""The program that answers which entry hosts a caller should use."""
