"""Serves models whose replicas span several instances."""
