"""What entries tell each other."""
