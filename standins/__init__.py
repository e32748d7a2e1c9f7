"""Stand-ins of the outside systems, for tests, the demo and the benches."""
