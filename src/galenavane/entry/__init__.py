"""Tasks of an entry process and the state that they share."""
