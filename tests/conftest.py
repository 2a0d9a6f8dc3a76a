"""Which tests run alone: all others may run beside each other in several processes (`tools/check`)."""

from __future__ import annotations

import pytest

# Files, or single tests of files that otherwise play in simulated time. They start processes of the system or follow
# the real clock with deadlines of tenths of a second, so that tests beside them spoil what they measure.
REAL_TIME = frozenset(
    {
        "test_adapter.py",
        "test_client_crowds.py",
        "test_client_gone.py",
        "test_fast_start.py",
        "test_golden_http.py",
        "test_lab_peers.py::test_the_same_file_is_played_with_real_processes",
        "test_lab_sockets.py",
        "test_guarantees.py",
        "test_leaving_process.py",
        "test_list_told.py",
        "test_model_worker.py",
        "test_net_forward.py",
        "test_net_listener.py",
        "test_net_loop.py",
        "test_one_way_processes.py",
        "test_operations.py",
        "test_peer_processes.py",
        "test_protocol_table.py",
        "test_restart.py",
        "test_server.py",
        "test_shutdown.py",
        "test_signals.py",
        "test_system_processes.py",
        "test_target_crossings.py",
        "test_upgrade.py",
        "test_wheel.py",
    }
)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that run alone, before `-m` picks by this mark."""
    for item in items:
        function = getattr(item, "originalname", item.name)
        if REAL_TIME & {item.path.name, f"{item.path.name}::{function}"}:
            item.add_marker(pytest.mark.real_time)
