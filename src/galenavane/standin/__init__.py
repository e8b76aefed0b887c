"""Minimal stand-ins for the platform, the targets and the network between them."""
