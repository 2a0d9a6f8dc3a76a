"""The data plane: it takes requests from clients, has the dispatcher place them, and carries them to workers."""
