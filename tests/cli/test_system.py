"""The operator's commands against scripted control processes on loopback."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from canvasbeam.cli.commands import cli
from canvasbeam.cli.exit_codes import ExitCode
from canvasbeam.errors import ResultCode
from tests.support.scripted_control import Control, Reply, error


def invoke(controls: list[Control], *arguments: str, timeout_s: float = 20.0) -> Result:
    options = [word for control in controls for word in ("--control", control.address)]
    return CliRunner().invoke(cli, ["system", *arguments, *options, "--timeout", str(timeout_s)])


def test_a_redirect_is_followed_to_the_primary(controls: list[Control]) -> None:
    replica, primary = controls
    replica.script = lambda method, path: Reply(307, location=f"http://{primary.address}{path}")
    primary.script = lambda method, path: Reply(200, {"epoch": 3, "members": [{"node": "core-1", "alive": True}]})
    result = invoke([replica], "status")
    assert result.exit_code == ExitCode.OK
    assert result.output.splitlines() == ["epoch: 3", "members:", "  node=core-1  alive=true"]
    assert json.loads(invoke([replica], "status", "--json").output)["epoch"] == 3


@pytest.mark.parametrize("status", [500, 503, 429, 408, None])
def test_another_address_is_tried_after_a_failure(controls: list[Control], status: int | None) -> None:
    first, second = controls
    first.script = lambda method, path: Reply(status)
    second.script = lambda method, path: Reply(200, {"generation": 4})
    result = invoke(controls, "config", "get")
    assert result.exit_code == ExitCode.OK
    assert json.loads(result.output) == {"generation": 4}


def test_a_circle_of_redirects_ends(controls: list[Control]) -> None:
    first, second = controls
    first.script = lambda method, path: Reply(307, location=f"http://{second.address}{path}")
    second.script = lambda method, path: Reply(307, location=f"http://{first.address}{path}")
    result = invoke(controls, "status", timeout_s=0.3)
    assert result.exit_code == ExitCode.FAILED
    assert "too many redirects" in result.output


def test_an_order_without_a_clear_answer_ends_as_unknown_and_a_read_as_failed(controls: list[Control]) -> None:
    for control in controls:
        control.script = lambda method, path: Reply(None)
    assert invoke(controls, "evacuate", "start", "z1", timeout_s=1.0).exit_code == ExitCode.UNKNOWN
    assert invoke(controls, "status", timeout_s=1.0).exit_code == ExitCode.FAILED
    assert len(controls[0].asked) > 1
    assert len(controls[1].asked) > 1


def test_a_rejected_request_is_not_sent_elsewhere(controls: list[Control]) -> None:
    first, second = controls
    first.script = lambda method, path: Reply(404, error(ResultCode.ZONE_UNKNOWN, "there is no zone z9"))
    result = invoke(controls, "evacuate", "end", "z9")
    assert result.exit_code == ExitCode.USAGE
    assert "answered 404: 212 zone_unknown: there is no zone z9" in result.output
    assert not second.asked


def test_evacuation_names_the_zone(controls: list[Control]) -> None:
    result = invoke(controls[:1], "evacuate", "start", "buc/h1", "--json")
    assert json.loads(result.output) == {"zone": "buc/h1", "evacuated": True}
    assert controls[0].asked[0][:2] == ("POST", "/v1/evacuate/buc%2Fh1")
    assert invoke(controls[:1], "evacuate", "end", "z1").output == "z1: in use\n"
    assert controls[0].asked[1][:2] == ("DELETE", "/v1/evacuate/z1")


@pytest.mark.parametrize(("command", "method"), [("put", "PUT"), ("patch", "PATCH")])
def test_a_change_is_sent_as_it_stands_on_the_current_generation(
    controls: list[Control], tmp_path: Path, command: str, method: str
) -> None:
    control = controls[0]
    control.script = lambda method, path: Reply(200, {"generation": 5})
    file = tmp_path / "change.json"
    file.write_bytes(b'{ "generation": 7 }')
    result = invoke([control], "config", command, str(file))
    assert result.exit_code == ExitCode.OK
    assert result.output == "generation 7 is current\n"
    assert control.asked == [("GET", "/v1/config", None, b""), (method, "/v1/config", "5", b'{ "generation": 7 }')]


def test_the_first_configuration_builds_on_zero(controls: list[Control], tmp_path: Path) -> None:
    control = controls[0]
    control.script = lambda method, path: Reply(404 if method == "GET" else 200, {})
    file = tmp_path / "first.json"
    file.write_text('{"generation": 1}')
    assert invoke([control], "config", "put", str(file)).exit_code == ExitCode.OK
    assert control.asked[-1][2] == "0"


def test_a_conflict_has_an_exit_code_of_its_own(controls: list[Control], tmp_path: Path) -> None:
    controls[0].script = lambda method, path: Reply(
        412, error(ResultCode.CONFIG_STALE_MATCH, "generation 9 is current")
    )
    file = tmp_path / "change.json"
    file.write_text('{"generation": 8}')
    result = invoke(controls, "config", "put", str(file), "--if-match", "7")
    assert result.exit_code == ExitCode.CONFLICT
    assert "generation 9 is current" in result.output


def test_an_invalid_configuration_is_a_usage_error(controls: list[Control], tmp_path: Path) -> None:
    controls[0].script = lambda method, path: Reply(
        400, error(ResultCode.CONFIG_UNKNOWN_SERVICE, "route r names service s")
    )
    file = tmp_path / "change.json"
    file.write_text('{"generation": 8}')
    result = invoke(controls, "config", "put", str(file), "--if-match", "7")
    assert result.exit_code == ExitCode.USAGE
    assert "route r names service s" in result.output


def test_the_configuration_can_be_written_to_a_file(controls: list[Control], tmp_path: Path) -> None:
    controls[0].script = lambda method, path: Reply(200, {"generation": 2, "routes": []})
    file = tmp_path / "out.json"
    assert invoke(controls, "config", "get", "--output", str(file)).exit_code == ExitCode.OK
    assert json.loads(file.read_text()) == {"generation": 2, "routes": []}


def test_a_wrong_address_is_a_usage_error() -> None:
    result = CliRunner().invoke(cli, ["system", "status", "--control", "nowhere"])
    assert result.exit_code == ExitCode.USAGE
    assert "host:port" in result.output


def test_addresses_come_from_the_environment_too(controls: list[Control]) -> None:
    environment = {"CANVASBEAM_CONTROL": f"127.0.0.1:1 {controls[0].address}"}
    assert CliRunner().invoke(cli, ["system", "status"], env=environment).exit_code == ExitCode.OK


def test_a_removal_by_name_is_ordered_until_it_is_done(controls: list[Control]) -> None:
    control = controls[0]
    states = iter(("in progress", "in progress", "done"))

    def script(method: str, path: str) -> Reply:
        if method == "GET":
            return Reply(200, {"members": [{"name": "core-2", "ip": "10.0.0.2", "is_control": True}]})
        return Reply(200, {"removal": next(states)})

    control.script = script
    result = invoke([control], "control", "remove", "core-2", "--json")
    assert result.exit_code == ExitCode.OK
    assert json.loads(result.output) == {"ip": "10.0.0.2", "removed": True}
    orders = [(method, path) for method, path, _, _ in control.asked if method == "POST"]
    assert orders == [("POST", "/v1/control/remove/10.0.0.2")] * 3


def test_a_removal_that_does_not_end_is_reported_as_unknown(controls: list[Control]) -> None:
    control = controls[0]
    control.script = lambda method, path: Reply(200, {"removal": "in progress"})
    result = invoke([control], "control", "remove", "10.0.0.2", timeout_s=1.0)
    assert result.exit_code == ExitCode.UNKNOWN
    assert "still in progress" in result.output


def test_a_removal_that_is_rejected_is_a_usage_error(controls: list[Control]) -> None:
    control = controls[0]
    rejection = error(ResultCode.MEMBER_NEEDED, "start one first")
    control.script = lambda method, path: Reply(409 if method == "POST" else 200, rejection)
    result = invoke([control], "control", "remove", "10.0.0.2")
    assert result.exit_code == ExitCode.USAGE
    assert "307 member_needed: start one first" in result.output
