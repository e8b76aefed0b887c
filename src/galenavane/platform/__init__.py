"""Adapter to the users' platform; no other package uses the platform's wire names."""
