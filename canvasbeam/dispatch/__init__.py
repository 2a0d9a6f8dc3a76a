"""Decide where each request goes: priority rings, queueing, retries, ejection, limits and learned expectations.

The package owns every placement decision of the scheduler in service and of the data plane. It is pure: events and the
time go in, actions come out, and nothing here touches a clock, a socket, a file, or unseeded randomness. Start reading
at `settings.py`, `events.py` and `actions.py`, the types that go in and out, then `dispatcher.py`, which hands events
to the parts that `parts.py` makes. `collaborators.py` has the protocols of what may be given to a dispatcher, which
`fleet_limits.py` and `language_model/` implement.

Events, the parts that take them, and what may come of it:

| event | parts, in order | actions |
| --- | --- | --- |
| `WorkersListed` | `endpoint_set`, `outlier_ejection`, `queue_estimates`, `worker_watch` | `WatchWorkers`, `SetTimer` |
| `ClassesChanged` | all that depend on classes, by `parts.change_classes` | |
| `RequestArrived` | `tenant_quotas`, `open_requests`, `pending_queue` | `RejectRequest`, `FailRequest` |
| `AttemptStarted`, `AttemptProgressed` | `outlier_ejection`, `attempts`, `attempt_outcomes` | |
| `StreamOpened` | `attempts`, `outlier_ejection`, `pending_queue` | `CancelAttempt` |
| `AttemptEnded` | `attempts`, `attempt_outcomes`, then `pending_queue` or `open_requests` | as when a request ends |
| `ClientDisconnected` | `open_requests` | `CancelAttempt` |
| `HealthCheckEnded` | `outlier_ejection` | |
| `TimerFired` "watch" | `worker_watch` | `WatchWorkers` |
| `TimerFired` "sweep" | `sweep_timers`, `worker_sweep`, `request_sweep` | all but `WatchWorkers` |
| after all events | `pending_queue`, `worker_choice`, `attempts`, `sweep_timers` | `StartAttempt`, `SetTimer` |

When a request ends, its answer is `RejectRequest` or `FailRequest` where it has none, and its open attempts end by
`CancelAttempt`. Whatever ejects or returns a worker gives a `WriteLog`.

State and its owners; the fields of the records in `records.py` are named by the part that owns them:

| state | owner |
| --- | --- |
| workers, priority rings, traits of the fleet | `endpoint_set` |
| round-robin candidates of a pass | `round_robin` |
| kinds of requests that no worker accepted, workers that changed since | `placement_cache` |
| pending requests, ranks | `pending_queue` |
| requests without a final answer | `open_requests` |
| attempts in flight, load of workers | `attempts` |
| concurrency limits | `concurrency_limits` |
| errors, ejections, trials | `outlier_ejection` |
| quickest starts, wait in queues | `late_starts` |
| work sent to workers that warm up | `slow_start` |
| service times | `service_estimates` |
| requests of all dispatchers at workers | `queue_estimates` |
| quotas of tenants | `tenant_quotas` |
| when requests and workers are looked at next | `sweep_timers` |
| the watch for endpoint lists | `worker_watch` |

Without state: `worker_acceptance` (does a worker accept a request now), `worker_choice` (which worker), `retry_policy`
(where and when again), `unresponsive` (missing notes), `attempt_outcomes` (what outcomes mean), the two sweeps.
"""
