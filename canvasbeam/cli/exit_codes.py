"""Exit codes, the same for every command; scripts of operators rely on the numbers, which never change."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1  # it could not be carried out: an address in use, nobody answers, a bad file
    USAGE = 2  # the call, a scenario or a configuration is wrong
    BROKEN = 3  # it ran, and a rule was broken
    BEHIND = 4  # it ran, and its figures are not to be trusted: the tool itself was too slow
    CONFLICT = 5  # another version of the configuration is current; nothing was changed
    UNKNOWN = 6  # no clear answer came; the request may have been carried out, and may be sent again
    INTERRUPTED = 130


EXIT_CODE_HELP = "\n".join(
    [
        "\b",
        "Exit codes:",
        "  0    done",
        "  1    could not be carried out",
        "  2    the call, a scenario or a configuration is wrong",
        "  3    it ran, and a rule was broken",
        "  4    it ran, but the tool fell behind its own plan",
        "  5    another version of the configuration is current; nothing was changed",
        "  6    no clear answer; the order may have been taken: send the same one again",
        "  130  interrupted",
    ]
)
