"""What the system tells targets and what they report."""
