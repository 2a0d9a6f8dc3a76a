"""Decide which workers exist, and to which data-plane nodes a client connects.

Owns the state of each worker as known to one control node. The package is pure: its functions get times and messages as
arguments, and return the publications to send. The package must never read a clock, send messages, or write logs; the
drivers in `canvasbeam.control_plane` do that. Start reading at:

- `worker_registry`: turns heartbeats into publications; contains the state table of a worker.
- `directory`: chooses the addresses of data-plane nodes for a client.
"""
