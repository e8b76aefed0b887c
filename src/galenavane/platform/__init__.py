"""Translates between the users' platform and galenavane; nothing else knows its names."""
