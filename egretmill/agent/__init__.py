"""The agent: the only program of a host that calls the platform."""
