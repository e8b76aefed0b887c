"""Event logs, metrics and the timeline."""
