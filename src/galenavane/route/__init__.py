"""Routing: admission, queueing and the choice of a group for each request."""
