"""Tracks targets and the replica groups that they form, as the platform lists them."""
