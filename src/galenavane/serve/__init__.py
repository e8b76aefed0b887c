"""Handles callers' requests: authentication, dispatch to targets and responses."""
