"""Entry process for platforms that list the targets and store the configuration."""
