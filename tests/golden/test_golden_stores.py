"""The files of a control process on its disk, byte for byte: the store of its member, and the workers that it knew.

`stores/` has, made by the code once:

| folder | content |
| --- | --- |
| `changes` | a member with a snapshot, changes since, both slots in use, and a log over the rest of an older one |
| `left` | a member of the first start that has left: the accepted view does without it |
| `truncated` | `changes`, where the last record of the log was cut short |
| `corrupt` | `changes`, where one bit of the last record of the log is wrong |
| `middle` | `changes`, where one bit of an earlier record of the log is wrong: the disk is not used |
| `compressed` | a member whose snapshot is compressed; only read, because another zlib may compress otherwise |
| `workers` | the workers that a control node knew |
"""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

import logbook
import pytest

from canvasbeam.cluster.transport import Channel, PeerInfo
from canvasbeam.control_plane.changes import apply, apply_checked
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.disk_worker import DiskWorker
from canvasbeam.control_plane.member_records import LoadedMember, RecordWriter, load_member
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.control_plane.view_log import ViewLog
from canvasbeam.control_plane.worker_snapshot import WorkerSnapshot, decode_snapshot
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import Save, SaveChange, SaveCommitted, SaveInstalled, SaveWitness
from canvasbeam.replication.views import NO_MEMBER, Epoch, MemberId, View
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.storage.disk import FolderDisk
from canvasbeam.storage.store import Store, open_store
from tests.golden.files import STORES

LIMIT_S = 20
LOG_END = 751  # of the last record of `changes`

# --- a member with changes since its snapshot ---------------------------------------------------------------------

MEMBER = MemberId("10.0.0.2/0123456789abcdef")
EPOCH = Epoch(7, MemberId("10.0.0.1/0"))
NO_EPOCH = Epoch(-1, NO_MEMBER)
VIEW = View(
    EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0123456789abcdef")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0123456789abcdef"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.3/0")),
)
FIRST_KEY = bytes.fromhex("0000000000000000000102030405060708090a0b")  # if-match 0
# If-match 7, and the digest of the kind and the body of `PUT`.
SECOND_KEY = bytes.fromhex("00000000000000078f14ebee9ea67e0d118caecb")
PUT = Change(ChangeKind.PUT_CONFIGURATION, b'{"generation":8,"routes":[],"services":[],"note":"\\u00e9"}', 7)
SNAPSHOT = ControlState(
    index=1,
    generation=7,
    configuration={"generation": 7, "routes": [], "services": []},
    configuration_index=1,
    applied_change_keys=(FIRST_KEY,),
)
STATES = (
    ControlState(2, 7, {"generation": 7, "routes": [], "services": []}, 1, ("north",), 2, (FIRST_KEY,)),
    ControlState(3, 7, {"generation": 7, "routes": [], "services": []}, 1, ("north", "süd"), 3, (FIRST_KEY,)),
    ControlState(
        4,
        8,
        {"generation": 8, "routes": [], "services": [], "note": "é"},
        4,
        ("north", "süd"),
        3,
        (FIRST_KEY, SECOND_KEY),
    ),
    ControlState(
        5, 8, {"generation": 8, "routes": [], "services": [], "note": "é"}, 4, ("süd",), 5, (FIRST_KEY, SECOND_KEY)
    ),
    ControlState(
        6,
        8,
        {"generation": 8, "routes": [], "services": [], "note": "é"},
        4,
        ("süd", "west"),
        6,
        (FIRST_KEY, SECOND_KEY),
    ),
)
CHANGES = (
    Change(ChangeKind.START_EVACUATION, zone="north"),
    Change(ChangeKind.START_EVACUATION, zone="süd"),
    PUT,
    Change(ChangeKind.END_EVACUATION, zone="north"),
    Change(ChangeKind.START_EVACUATION, zone="west"),
)
SAVE_CHANGES = tuple(SaveChange(change, state) for change, state in zip(CHANGES, STATES, strict=True))
LAST_BATCH: Sequence[Save] = (SAVE_CHANGES[4],)
# The log holds 64 records, so that the second slot comes into use among the many.
BATCHES: Sequence[Sequence[Save]] = (
    (SaveWitness(EPOCH, None, False),),
    (SaveInstalled(EPOCH, SNAPSHOT),),
    (SaveWitness(EPOCH, VIEW, False), SaveWitness(EPOCH, VIEW, True)),
    SAVE_CHANGES[:2],
    *((SaveCommitted(1 + number % 3),) for number in range(65)),
    SAVE_CHANGES[2:4],
    (SaveCommitted(4),),
    LAST_BATCH,
)
BEFORE_LAST = LoadedMember(MEMBER, DurableState(EPOCH, VIEW, True, EPOCH, STATES[3], 4))
WHOLE = LoadedMember(MEMBER, DurableState(EPOCH, VIEW, True, EPOCH, STATES[4], 4))

# --- a member that has left ---------------------------------------------------------------------------------------

LEFT_MEMBER = MemberId("10.0.0.3/0")
GENESIS = View(
    Epoch(0, NO_MEMBER),
    NO_MEMBER,
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0"), MemberId("10.0.0.3/0")),
)
FIRST_EPOCH, LEFT_EPOCH = Epoch(1, MemberId("10.0.0.1/0")), Epoch(2, MemberId("10.0.0.2/0"))
FIRST_VIEW = View(
    FIRST_EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.3/0")),
    GENESIS.witnesses,
    GENESIS.witnesses,
)
LEFT_VIEW = View(
    LEFT_EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0"), MemberId("10.0.0.4/fedcba9876543210")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0"), MemberId("10.0.0.3/0")),
)
LEFT_STATE = ControlState(index=1, evacuated_zones=("north",), evacuation_index=1)
LEFT_BATCHES: Sequence[Sequence[Save]] = (
    (SaveWitness(FIRST_EPOCH, GENESIS, True),),
    (SaveInstalled(FIRST_EPOCH, None), SaveWitness(FIRST_EPOCH, FIRST_VIEW, False)),
    (SaveWitness(FIRST_EPOCH, FIRST_VIEW, True), SaveChange(CHANGES[0], LEFT_STATE)),
    (SaveCommitted(1),),
    (SaveWitness(LEFT_EPOCH, FIRST_VIEW, True),),
    (SaveWitness(LEFT_EPOCH, LEFT_VIEW, True),),
)
LEFT = LoadedMember(LEFT_MEMBER, DurableState(LEFT_EPOCH, LEFT_VIEW, True, FIRST_EPOCH, LEFT_STATE, 1))

# --- a member with a large state ----------------------------------------------------------------------------------

LARGE_STATE = ControlState(index=1, generation=1, configuration={"generation": 1, "text": "golden " * 1000})
LARGE = LoadedMember(MEMBER, DurableState(EPOCH, VIEW, True, EPOCH, LARGE_STATE, 0))

# --- writing and reading ------------------------------------------------------------------------------------------


def codec() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def opened(folder: Path) -> Store:
    store = open_store(FolderDisk(folder))
    assert isinstance(store, Store), store
    return store


def write_batches(folder: Path, batches: Iterable[Sequence[Save]], begin: LoadedMember | None = None) -> None:
    """Write as a control process does: through the thread of its disk, one update a batch."""

    async def body() -> None:
        worker = DiskWorker(lambda trouble: None)
        store = await worker.run(lambda: opened(folder))
        writer = RecordWriter(codec(), store.values)
        if begin is not None:
            await worker.write(store, writer.first(begin.member, begin.durable))
        for batch in batches:
            await worker.write(store, writer.updates(batch))
        worker.close()

    asyncio.run(body())


def write_changes(folder: Path) -> None:
    """The store of the member with changes."""
    write_batches(
        folder, BATCHES, LoadedMember(MEMBER, DurableState(NO_EPOCH, None, False, NO_EPOCH, ControlState(), 0))
    )


def write_left(folder: Path) -> None:
    """The store of the member that has left."""
    begin = DurableState(Epoch(0, NO_MEMBER), GENESIS, True, Epoch(0, NO_MEMBER), ControlState(), 0)
    write_batches(folder, LEFT_BATCHES, LoadedMember(LEFT_MEMBER, begin))


def write_compressed(folder: Path) -> None:
    """The store of the member with a large state."""
    write_batches(folder, (), LARGE)


def loaded(folder: Path) -> LoadedMember | Failure | None:
    return load_member(opened(folder).values, codec(), apply_checked)


def contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


@pytest.fixture
def golden(tmp_path: Path) -> Callable[[str], Path]:
    """A copy of a golden store: opening one makes its files where they lack, and a member writes."""

    def copied(name: str) -> Path:
        return Path(shutil.copytree(STORES / name, tmp_path / name))

    return copied


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("changes", WHOLE),
        ("left", LEFT),
        ("truncated", BEFORE_LAST),
        ("corrupt", BEFORE_LAST),
        ("compressed", LARGE),
    ],
)
def test_the_member_of_a_golden_store_is_found(
    name: str, expected: LoadedMember, golden: Callable[[str], Path]
) -> None:
    folder = golden(name)
    before = contents(folder)
    assert loaded(folder) == expected
    assert contents(folder) == before


@pytest.mark.parametrize(("name", "generation"), [("changes", 2), ("left", 1), ("truncated", 2), ("corrupt", 2)])
def test_golden_stores_have_their_files_and_generation(
    name: str, generation: int, golden: Callable[[str], Path]
) -> None:
    folder = golden(name)
    assert set(contents(folder)) == {"slot-0", "slot-1", "log"}
    assert opened(folder).generation == generation


def test_the_names_and_values_of_a_golden_store(golden: Callable[[str], Path]) -> None:
    values = dict(opened(golden("changes")).values)
    witness, state = values.pop("witness"), values.pop("state")
    assert witness.endswith(b"\x18\x01")  # settled
    assert state.startswith(b"\x00\x08\x01\x10\x07\x1a")  # not compressed; index 1, generation 7, the configuration
    assert values == {
        "member": b"10.0.0.2/0123456789abcdef",
        "installed": b"\x08\x08\x12\x0a10.0.0.1/0",
        "committed": b"4",
        "change/0000000000000002": b"\x08\x03\x22\x05north",
        "change/0000000000000003": b"\x08\x03\x22\x04s\xc3\xbcd",
        "change/0000000000000004": b"\x08\x01\x12\x3b\x00"
        b'{"generation":8,"routes":[],"services":[],"note":"\\u00e9"}\x18\x07',
        "change/0000000000000005": b"\x08\x04\x22\x05north",
        "change/0000000000000006": b"\x08\x03\x22\x04west",
    }


@pytest.mark.parametrize(("name", "write"), [("changes", write_changes), ("left", write_left)])
def test_a_store_is_written_with_the_golden_bytes(name: str, write: Callable[[Path], None], tmp_path: Path) -> None:
    write(tmp_path / "written")
    assert contents(tmp_path / "written") == contents(STORES / name)


def test_a_corrupt_tail_is_written_over_with_the_golden_bytes(golden: Callable[[str], Path]) -> None:
    folder = golden("corrupt")
    assert contents(folder) != contents(STORES / "changes")
    write_batches(folder, (LAST_BATCH,))
    assert contents(folder) == contents(STORES / "changes")
    assert loaded(folder) == WHOLE


def test_a_truncated_tail_is_written_over_with_the_golden_bytes(golden: Callable[[str], Path]) -> None:
    """What lay behind the last record, of the log before, was cut off with it."""
    folder = golden("truncated")
    write_batches(folder, (LAST_BATCH,))
    whole = contents(STORES / "changes")
    assert contents(folder) == whole | {"log": whole["log"][:LOG_END]}
    assert loaded(folder) == WHOLE


def test_a_store_that_is_damaged_in_its_middle_is_not_used(golden: Callable[[str], Path]) -> None:
    store = open_store(FolderDisk(golden("middle")))
    assert isinstance(store, Failure)
    assert store.code is ResultCode.DISK_CORRUPT


def test_applying_the_changes_leads_to_the_states_written_here() -> None:
    state = SNAPSHOT
    for change, expected in zip(CHANGES, STATES, strict=True):
        after = apply(state, change)
        assert after == expected
        assert isinstance(after, ControlState)
        state = after


# --- a process that starts on a golden store ----------------------------------------------------------------------


class SilentTransport:
    """Reaches nobody."""

    def send(self, address: Address, channel: Channel, payload: bytes) -> None:
        pass

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        pass


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        # Its state is ahead of what is known to be committed: it tells none until it hears more.
        ("changes", (MemberId("10.0.0.2/0123456789abcdef"), 7, 6, 0, "ok")),
        ("truncated", (MemberId("10.0.0.2/0123456789abcdef"), 7, 5, 0, "ok")),
        ("compressed", (MemberId("10.0.0.2/0123456789abcdef"), 7, 1, 0, "ok")),
        ("left", (MemberId("10.0.0.3/0"), 2, 1, 1, "ok")),
    ],
)
def test_a_process_begins_with_its_golden_store(
    name: str, expected: tuple[str, int, int, int, str], golden: Callable[[str], Path]
) -> None:
    member = expected[0]
    ip = member.partition("/")[0]
    settings = ProcessSettings(
        node="core", role="control-plane", node_class="core", serves=("control",), ip=ip, zone="z", region="r",
        port_range=(7660, 7669), seeds=(Address("10.0.0.1", 8146),), data_dir=golden(name),
    )  # fmt: skip

    async def body() -> None:
        service = ReplicatedControlState(settings, SilentTransport(), apply, encode_state, decode_state)
        await service.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                while not service.status.member and service.status.disk == "ok":
                    await asyncio.sleep(0.01)
            status = service.status
            found = (status.member, status.epoch, status.stored_index, status.committed_index, status.disk)
            assert found == expected
        finally:
            await service.stop()

    asyncio.run(body())


# --- the workers that a control node knew -------------------------------------------------------------------------

SAVED_AT_NS = 1_700_000_000_123_456_789
WORKERS = (
    Item(ItemKind.WORKER, "wörker-1", Version(300), b"\x0a\x03llm\x12\x0b10.1.0.1:80\x1a\x02z1(\x040\x01"),
    Item(ItemKind.WORKER, "worker-2", Version(7, 1), b"\x0a\x03llm\x12\x0b10.1.0.2:80\x1a\x02z20\x03"),
)
OTHERS = (
    Item(ItemKind.WORKER, "worker-3", Version(1 << 62), deleted=True),
    Item(ItemKind.EVACUATIONS, "current", Version(3), b"north"),
)


class TableNode:
    """A node's table, without other nodes."""

    def __init__(self, items: Iterable[Item] = ()) -> None:
        self.table = ItemTable()
        self.table.merge(items)

    def publish(self, items: Iterable[Item]) -> list[Item]:
        return self.table.merge(items)


def write_workers(folder: Path) -> None:
    """The file of a node that knows workers and other things."""

    async def body() -> None:
        snapshot = WorkerSnapshot(TableNode((*WORKERS, *OTHERS)), FolderDisk(folder), lambda: SAVED_AT_NS)
        await snapshot.save()
        snapshot.close()

    asyncio.run(body())


def restored(folder: Path, at_ns: int) -> list[Item]:
    """What a node holds that starts with this file at this time."""

    async def body() -> list[Item]:
        node = TableNode()
        snapshot = WorkerSnapshot(node, FolderDisk(folder), lambda: at_ns)
        await snapshot.restore()
        snapshot.close()
        return list(node.table)

    return asyncio.run(body())


def test_the_workers_are_written_with_the_golden_bytes(tmp_path: Path) -> None:
    write_workers(tmp_path / "written")
    assert contents(tmp_path / "written") == contents(STORES / "workers")
    assert set(contents(STORES / "workers")) == {"workers"}


def test_the_golden_workers_are_restored_while_they_are_young(golden: Callable[[str], Path]) -> None:
    folder = golden("workers")
    assert restored(folder, SAVED_AT_NS) == list(WORKERS)
    assert restored(folder, SAVED_AT_NS + 10_000_000_000) == list(WORKERS)
    assert restored(folder, SAVED_AT_NS + 10_000_000_001) == []
    assert restored(folder, SAVED_AT_NS - 1) == []


@pytest.mark.parametrize("position", [0, 8, 40, -1])
def test_damaged_golden_workers_are_left_unused(position: int) -> None:
    data = bytearray((STORES / "workers" / "workers").read_bytes())
    assert decode_snapshot(bytes(data), SAVED_AT_NS) == WORKERS
    data[position] ^= 1
    assert decode_snapshot(bytes(data), SAVED_AT_NS) == ()


# --- the line of the log on a view --------------------------------------------------------------------------------


def test_each_new_view_has_its_line_in_the_log() -> None:
    with logbook.TestHandler() as handler:
        log = ViewLog()
        for view in (None, VIEW, VIEW, GENESIS):
            log.note(view)
        assert [record.message for record in handler.records] == [
            "view known epoch=7 primary=10.0.0.1/0 replicas=10.0.0.1/0,10.0.0.2/0123456789abcdef "
            "witnesses=10.0.0.1/0,10.0.0.2/0123456789abcdef,10.0.0.3/0",
            "view known epoch=0 primary=none replicas=10.0.0.1/0,10.0.0.2/0,10.0.0.3/0 "
            "witnesses=10.0.0.1/0,10.0.0.2/0,10.0.0.3/0",
        ]
