"""The configuration in force: routes, services, models, client accounts and limits."""
