"""Stand-ins for the platform and the upstreams, with faults to set."""
