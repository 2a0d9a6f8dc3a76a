"""Estimate the latency of language-model workers from one scheduler's attempts and other schedulers' notices.

The package owns the expected latencies; it places no request. It is pure: takes events and the time in whole
nanoseconds, returns estimates; no clock, no I/O. Start reading at `expectations.py`: `EngineExpectations`, the
dispatcher's `EngineModel`. `worker_model.py` contains the state of one worker, which has three parts:
`prefill_queue.py`, the prompts waiting at the worker; `prefix_cache.py`, the prompt parts in its prefix cache;
`learned_latencies.py`, its round trip, prefill speed and inter-token latency. `zone_liveness.py` detects zones that may
be partitioned.
"""
