"""Primary-backup replication with views: pure state machines without I/O, clocks or threads.

Owns the replication protocol of the control state: electing the primary, choosing the replicas and witnesses of a view,
and committing changes. The package must not read a clock, use an unseeded random source, access a disk or a socket, or
block: callers pass in events and the time, and `canvasbeam.control_plane.replicated_state` performs the returned
actions.

Entry points for readers: `views` defines the vocabulary, `messages` the messages between members, `roles` the table of
roles. `member.Member` is one member and the only public entry point. It delegates the decisions of a role to a state
machine (`follower`, `candidate_role` around `candidate`, `primary_role` around `primary`), and everything else to parts
that exist in every role (`shared_state`): `witness` (promises, votes), `replica` (the state), `responder` (answers of
witness and replica to a primary or candidate), `member_liveness` (failure detection), `election_timer`, `view_planning`
with `view_rules` (the next view), `snapshots` (large states) and `departure` (the shutdown of a member). A primary also
has a `change_log`, a `replica_progress` and a `change_flow` for each replica, `heartbeat_rounds`, and `catch_up` for
joining members. `durability.Outbox`, between a member and its driver, delays each message that confirms stored data
until the data is synced to disk.
"""
