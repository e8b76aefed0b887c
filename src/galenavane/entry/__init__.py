"""Tasks of an entry process and the values that they publish to each other."""
