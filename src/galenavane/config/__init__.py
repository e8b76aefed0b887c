"""Settings of a process and declarations of a deployment."""
