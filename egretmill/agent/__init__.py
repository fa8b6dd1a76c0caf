"""The agent: the only program that talks to the platform."""
