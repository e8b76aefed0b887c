"""Membership, state and configuration exchange between entries."""
