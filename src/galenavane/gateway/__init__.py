"""The tasks of an entry process on a platform that lists targets and keeps the configuration."""
