"""The tasks of one entry process."""
