"""Commands to targets, their reports and the completion messages that they exchange."""
