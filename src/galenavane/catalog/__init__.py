"""The active configuration: routes, services, models, client accounts and limits."""
