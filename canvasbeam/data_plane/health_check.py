"""Check the health of one worker: send one request over a connection from the worker's pool.

The dispatcher requests health checks, and ejects or readmits workers according to the outcomes.
"""

from __future__ import annotations

import asyncio

import httpcore

from canvasbeam.data_plane.worker_connections import WorkerConnectError, WorkerConnection, WorkerPool
from canvasbeam.dispatch.events import Outcome

HEALTH_CHECK_TIMEOUT_S = 1.0


async def check_health(pool: WorkerPool, worker: str, path: str) -> Outcome:
    """Send a health check to a worker over one of the worker's connections, and return the outcome.

    The outcome is `ERROR` for any status but 200 or an answer from another worker, `CONNECT_FAILED` if no connection
    was opened, `TIMED_OUT` without an answer within `HEALTH_CHECK_TIMEOUT_S`, and `BROKEN` if the connection broke or
    delivered an answer to an earlier request.
    """
    try:
        async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
            connection = await pool.acquire(unsafe=False)
            return await _send_check(pool, connection, worker, path)
    except WorkerConnectError:
        return Outcome.CONNECT_FAILED
    except TimeoutError:
        return Outcome.TIMED_OUT


async def _send_check(pool: WorkerPool, connection: WorkerConnection, worker: str, path: str) -> Outcome:
    address = pool.address
    url = httpcore.URL(scheme=b"http", host=address.host, port=address.port, target=path)
    try:
        response = await connection.http.handle_async_request(
            httpcore.Request(b"GET", url, headers=[(b"host", str(address).encode())])
        )
        await response.aread()
        await response.aclose()
    except (httpcore.NetworkError, httpcore.ProtocolError):
        pool.discard(connection)
        return Outcome.BROKEN
    except BaseException:
        pool.discard(connection)
        raise
    headers = {name.lower(): value for name, value in response.headers}
    if headers.get(b"x-request-id") in connection.recent_request_ids:
        pool.discard(connection)  # surplus answer to an earlier request; the answer to the check is outstanding
        return Outcome.BROKEN
    pool.release(connection)
    answering_worker = headers.get(b"x-instance")
    is_healthy = response.status == 200 and answering_worker in (None, worker.encode())
    return Outcome.OK if is_healthy else Outcome.ERROR
