"""Process infrastructure of the control plane and the data plane: settings, logs, signals, listeners, HTTP servers.

The package makes no decision for the control plane or the data plane, and must not import from either: both depend on
this package.

Start reading at `process.py`, which runs a program from reading the settings to returning the exit code and uses
`settings.py`, `logs.py` and `signals.py`. `listeners.py` opens listening sockets before the other modules are imported;
`http_server.py` and `http_connection.py` serve HTTP/1.1 on these sockets. `planned_shutdown.py` (pure) decides which
requests a terminating process still accepts; `process_incarnation.py` (pure) distinguishes a process from its
predecessor at the same address. `unused_imports.py` reduces memory use by blocking imports of unused libraries.
"""
