"""The control plane: the operator's API, the registry of workers, the directory, and the replicated control state."""
