"""Links between instances: messages, sockets and keys."""
