"""HTTP connections, stream relays and ZeroMQ sockets."""
