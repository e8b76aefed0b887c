"""Logs, metrics and the time line."""
