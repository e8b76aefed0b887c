"""Tests of the eight invariants with real processes."""
