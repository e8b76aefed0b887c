"""Real entry processes on loopback, disturbed from outside and checked while they serve."""
