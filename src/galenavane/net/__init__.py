"""HTTP connections and message sockets."""
