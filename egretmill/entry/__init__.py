"""The entry program: serves callers' requests through upstreams."""
