"""Failures with their numbered result codes and outcomes."""
