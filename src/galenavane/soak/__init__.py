"""Randomised soak tests of simulated deployments under injected faults."""
