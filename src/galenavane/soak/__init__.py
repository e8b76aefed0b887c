"""Long randomised runs of whole deployments under every failure."""
