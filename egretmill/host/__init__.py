"""The host process, one per machine: proxy, directory and fleet state."""
