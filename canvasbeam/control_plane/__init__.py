"""The control plane: the operator's API, the registry of workers, the directory, and the replicated control state.

Owns the control process: the parts of the process, their background tasks, the disk and the HTTP endpoints. An
operator's change must not be acknowledged before the change is durable on every replica of the view, nor a worker's
heartbeat before a majority of the control nodes has stored the reported changes. This package must not take decisions
that belong to the pure packages (`replication`, `service_discovery`, `leases`): it passes events to the pure packages
and carries out their actions.
Start reading at:

- `program`: the parts of the process, their start and stop; `__main__` is the entry point.
- `replicated_state`: the replicated control state as a service, with `member_driver` (actions of the member),
  `member_disk` and `member_records` (stored records), `replication_link` and `replication_codec` (messages),
  `pending_calls`, `replication_listeners` and `departure_wait`.
- `changes`: the function that applies an operator's change, with `configuration_schema`, `configuration_rules` and
  `configuration_patch`; `control_state_record` encodes the resulting state.
- `operator_api`: the operator's requests, served by `web`; `evacuation_fence` rejects delayed copies of requests, and
  `change_check` checks large changes in a thread, outside the event loop.
- `registry`: heartbeats of workers, with `heartbeats` and `heartbeat_exchange`. `worker_storage` keeps workers across a
  restart of the control node: acknowledged ends and warm-ups in `durable_items`, and the known workers as a hint in
  `worker_snapshot`.
- `directory`: tells clients which data-plane nodes to connect to, with `home_regions`.
- `publisher`: publishes the committed state to all nodes. `status`: the document of `/v1/status`.
"""
