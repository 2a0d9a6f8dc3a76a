"""HTTP management interface of a running scheduler: health check, statistics and maintenance mode, for operators.

The package owns the socket on the management address, the set of workers in maintenance mode, and the file through
which the old and the new process of an upgrade share that set. It must never choose a worker for a client's request,
and never delay a client's request for an operator's. A scheduler without a management address does not import this
package.

Suggested reading order: `maintenance` (pure state machine: the workers in maintenance mode, and the actions that follow
an operator's request), `operations` (applies these actions to the running scheduler), `routes` (maps a request's method
and path to its response), `server` (sockets and limits), `handover` (the shared file).
"""
