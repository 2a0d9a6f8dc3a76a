"""Blocks imports of optional dependencies that no program of this package uses, in order to save memory.

httpcore imports trio if trio is installed, and works without trio otherwise. Importing trio loads 86 modules and takes
4.5 MB.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("trio",)


def block_unused_imports() -> None:
    """Make the import of each unused module fail as if the module were not installed; call before other imports."""
    for name in UNUSED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]
