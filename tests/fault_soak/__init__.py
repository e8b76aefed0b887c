"""Soak test of real entry processes on loopback under randomly injected faults."""
