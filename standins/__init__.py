"""Stand-ins for the platform and the upstreams, with fault switches."""
