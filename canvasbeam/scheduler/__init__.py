"""The real scheduler's sockets: a loop, the request core, and its three neighbours."""
