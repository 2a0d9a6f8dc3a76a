"""Tests that settings out of range raise a ValueError that names the field."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from canvasbeam.dispatch.settings import DispatchLimits, RequestClass, Rules, Tenant
from tests.support.helpers import SAFE, settings

OUT_OF_RANGE: dict[str, Callable[[], Any]] = {
    "own_zone": lambda: settings(own_zone="nowhere"),
    "classes": lambda: settings(classes=()),
    "dispatchers": lambda: settings(dispatchers=0),
    "quantum_ns": lambda: settings(quantum_ns=0),
    "progress_ns": lambda: settings(progress_ns=-1),
    "own_number": lambda: settings(own_number=-1),
    "latency_target_ns": lambda: RequestClass("a", 0, 1),
    "deadline_ns": lambda: RequestClass("a", 1, 0),
    "late_value": lambda: RequestClass("a", 1, 1, late_value=2.0),
    "initial_share": lambda: Rules(initial_share=0.0),
    "overload_multiple": lambda: Rules(overload_multiple=0.0),
    "max_attempts": lambda: DispatchLimits(max_attempts=0),
    "connect_timeout_ns": lambda: DispatchLimits(connect_timeout_ns=0),
    "quota_per_s": lambda: Tenant("t", quota_per_s=-1.0),
}


@pytest.mark.parametrize("name", OUT_OF_RANGE)
def test_setting_out_of_range_raises_an_error_that_names_the_field(name: str) -> None:
    with pytest.raises(ValueError, match=f"^{name} "):
        OUT_OF_RANGE[name]()


def test_duplicate_class_or_class_of_an_unknown_kind_is_rejected() -> None:
    with pytest.raises(ValueError, match="classes must not name a class twice"):
        settings(classes=(SAFE, SAFE))
    with pytest.raises(ValueError, match=r"classes\.kind"):
        settings(classes=(RequestClass("a", 1, 1, kind="no such"),))
