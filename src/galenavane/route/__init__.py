"""Which group gets a request, when, and what is refused."""
