"""What both programs of the system share: settings, logs and signals."""
