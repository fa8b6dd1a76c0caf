"""Answers to look-ups: client blocks and placement of callers on hosts."""
