"""One process per machine: entry, look-ups and fleet state on one loop."""
