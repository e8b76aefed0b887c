"""Measurements that the documentation quotes, one module each."""
