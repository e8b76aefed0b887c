"""Forms and repairs replica groups and commands their targets."""
