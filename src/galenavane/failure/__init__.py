"""What went wrong, as numbered codes and outcomes."""
