"""Client of the platform's object API and the leases stored in it."""
