"""The emulated world, pure: it reads no clock, opens no socket and draws only from seeds it is handed."""
