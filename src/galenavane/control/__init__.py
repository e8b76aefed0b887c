"""Replica groups: formation, repair and commands to targets."""
