"""Pure decisions beside the ordinary path: events and the clock in, actions out; no I/O and no clock of their own."""
