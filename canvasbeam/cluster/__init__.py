"""How the nodes of the system know each other and pass state on: messages, transport, membership, relay tree."""
