"""Callers' requests from first byte to last."""
