"""The data plane accepts requests of clients and forwards each request to a worker that the dispatcher chooses.

The package owns the open requests of its process, the connections to workers, and the answers that the node generates
itself. A request must never get two answers. The node must never state that a request has not run when a worker may
have run the request, and must never forward an incomplete answer of a worker as complete. The package writes nothing
to disk, and no other package imports the package.

The main modules, in the order in which a request passes through these modules:

    program.py            components, startup, shutdown: placement.py, servers.py, readiness.py, startup.py, shutdown.py
    ingress.py            reading a request: request_head.py, body_reader.py, routes.py
    router.py             a request from arrival to answer; the module docstring of router.py lists its components
    attempt_runner.py     one attempt at a worker: worker_connections.py, worker_request.py, exchange.py, streams.py
    endpoint_list.py      workers from the item table; configuration_view.py: routes and services from the item table
    outcome_recorder.py   the outcomes of requests: outcomes.py, metrics.py
    placement_notices.py  notices between nodes about their attempts; shared_limits.py: limits shared by all nodes
"""
