"""Durable storage of named values: two slot files with alternating checkpoints, and a short log of later updates.

Owns the files of one directory and their format. The package must never interpret the values, nor acknowledge an update
before the update is synced. All calls block. Modules:

- `store`: the table, its updates and its recovery, with the rules on the order of writes.
- `frames`: the format of the checksummed frames in the files.
- `disk`: the file operations, which tests replace by a model disk.
"""
