"""The platform's object API and the leases kept in it."""
