"""Whole deployments in one process, on a virtual clock, with faults."""
