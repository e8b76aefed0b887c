"""Deterministic simulation of whole deployments in one process, with a virtual clock and faults."""
