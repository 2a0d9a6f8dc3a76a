"""Choose a worker for each request: priority rings, queueing, retries, ejection, concurrency limits and estimates.

The package makes every placement decision of the scheduler program and of the data plane. The package is pure: it maps
events and the current time to actions, and its code uses no clock, socket, file or unseeded random numbers. Start
reading at `settings.py`, `events.py` and `actions.py`, which define the input and output types, then `dispatcher.py`,
which passes events to the parts that `parts.py` creates. `collaborators.py` defines the protocols of a dispatcher's
optional collaborators, which `fleet_limits.py` and `language_model/` implement.

Events, the parts that handle each event, and the actions that may result:

| event | parts, in order | actions |
| --- | --- | --- |
| `WorkersListed` | `endpoint_set`, `outlier_ejection`, `queue_estimates`, `worker_watch` | `WatchWorkers`, `SetTimer` |
| `ClassesChanged` | all parts that depend on request classes, through `parts.change_classes` | |
| `RequestArrived` | `tenant_quotas`, `open_requests`, `pending_queue` | `RejectRequest`, `FailRequest` |
| `AttemptStarted`, `AttemptProgressed` | `outlier_ejection`, `attempts`, `attempt_outcomes` | |
| `StreamOpened` | `attempts`, `outlier_ejection`, `pending_queue` | `CancelAttempt` |
| `AttemptEnded` | `attempts`, `attempt_outcomes`, then `pending_queue` or `open_requests` | as at a request's end |
| `ClientDisconnected` | `open_requests` | `CancelAttempt` |
| `HealthCheckEnded` | `outlier_ejection` | |
| `TimerFired` "watch" | `worker_watch` | `WatchWorkers` |
| `TimerFired` "sweep" | `sweep_timers`, `worker_sweep`, `request_sweep` | all except `WatchWorkers` |
| after all events | `pending_queue`, `worker_choice`, `attempts`, `sweep_timers` | `StartAttempt`, `SetTimer` |

When a request ends, `RejectRequest` or `FailRequest` is its answer unless a worker has answered, and `CancelAttempt`
ends each open attempt. Ejecting or restoring a worker causes `WriteLog`.

State and its owners; the docstring of each part names the fields of `records.py` that the part owns:

| state | owner |
| --- | --- |
| workers, priority rings, traits of the worker fleet | `endpoint_set` |
| round-robin candidates of a pass | `round_robin` |
| equivalence keys of requests that no worker accepted, workers changed since then | `placement_cache` |
| pending requests and their ranks | `pending_queue` |
| requests without a final answer | `open_requests` |
| attempts in flight, load of each worker | `attempts` |
| concurrency limits | `concurrency_limits` |
| error counts, ejections, workers on trial | `outlier_ejection` |
| fastest starts, mean wait in workers' queues | `late_starts` |
| work sent to workers that are warming up | `slow_start` |
| mean service times | `service_estimates` |
| estimated load of each worker from all dispatchers | `queue_estimates` |
| quotas of tenants | `tenant_quotas` |
| time of the next check of each request and worker | `sweep_timers` |
| watch on discovery's endpoint list | `worker_watch` |

Modules without own state: `worker_acceptance` (whether a worker accepts a request now), `worker_choice` (which worker
gets a request), `retry_policy` (where and when a request may be sent again), `unresponsive` (stalled attempts and
unresponsive workers), `attempt_outcomes` (effects of starts and outcomes on other parts), `worker_sweep` and
`request_sweep` (checks that are due).
"""
