"""Malformed entries among sound ones: too deep, too large, out of range."""

from typing import Any

import pytest
import trio

from kingcuplever.connection import http_client
from kingcuplever.connection import http_server
from kingcuplever.connection import keyed_log
from kingcuplever import errors
from kingcuplever import intents
from kingcuplever import plain
from kingcuplever.platform import executor
from kingcuplever.platform import hosts
from kingcuplever.platform import queues
from kingcuplever.platform import store
from kingcuplever.process.agent import executor as executors
from kingcuplever.process.agent import owner_link
from kingcuplever.process.routing import targets
from kingcuplever.process.scheduling import evacuations
from kingcuplever.process.scheduling import maintenance_rounds
from kingcuplever.process.scheduling import model
from kingcuplever.process.stored import evidence_records
from kingcuplever.process.stored import job_records
from kingcuplever.process.stored import job_table
from kingcuplever.process.stored import owner_announcements
from kingcuplever.version import configuration


def nest(depth: int) -> str:
    """Return JSON text of nested lists."""
    return "[" * depth + "]" * depth


# JSON texts of values.  Depths about the limit of a parser are parsed in one
# place, and are too much for the next one.
MALFORMED_TEXTS = [
    *(nest(depth) for depth in (300, *range(700, 1000, 10), 100_000)),
    '{"a":' * 900 + "1" + "}" * 900,
    "1" + "0" * 400,
    "9" * 5000,
    "-1e999",
    "NaN",
    '"10.1.0.9:65536"',
    '"10.1.0.9:-1"',
    f'"10.1.0.9:{"9" * 5000}"',
    '"\\ud800"',
    '"' + "x" * 100_000 + '"',
    "null",
]
malformed_texts = pytest.mark.parametrize(
    "text", MALFORMED_TEXTS, ids=lambda t: t[:12]
)


def make_record(offset: int, key: str, text: str) -> keyed_log.StoredRecord:
    """Make a record with JSON text as its value."""
    return keyed_log.StoredRecord(offset, key, text.encode())


# Guards against a side that ends, and again after each restart, when it reads
# one malformed record among the announcements.
@malformed_texts
def test_malformed_announcement_is_skipped_and_the_next_one_followed(
    text: str,
) -> None:
    sink = owner_link.OwnerSink()
    records = [
        make_record(0, owner_announcements.EVACUATIONS_KEY, text),
        make_record(1, job_records.OWNER_KEY, text),
        make_record(2, job_records.OWNER_KEY, f'[9,"e",{text},0,""]'),
        make_record(3, job_records.OWNER_KEY, '[2,"e","10.1.0.9:80",0,""]'),
    ]
    sink.apply_records(records)
    assert sink.owner is not None and sink.owner.epoch == 2


# Guards against an entry that ends, and again after each restart, when it
# reads one malformed record of a job.
@malformed_texts
def test_malformed_record_of_a_job_is_skipped(text: str) -> None:
    table = job_table.JobTable(lambda: 0.0)
    keys = ("s:j", "c:j", "j:j", "owner", "p:x", "a:h/y", "config", "e:h")
    for offset, key in enumerate((*keys, "h:x", "w:1", "q:x")):
        table.apply_records([make_record(offset, key, text)])
    for value in (text, f'{{"rows":{text}}}', f'{{"rows":[{text}]}}'):
        try:
            evidence_records.decode_batch(value.encode())
        except plain.ValidationError:
            continue


class _Pages(http_client.HttpClient):
    """A client that answers each call with the next of some pages."""

    def __init__(self, *pages: str) -> None:
        super().__init__("127.0.0.1:1", 1.0)
        self._pages = [*pages]

    async def call(self, *_: Any, **__: Any) -> http_client.ClientResponse:
        await trio.lowlevel.checkpoint()
        body = self._pages.pop(0).encode()
        return http_client.ClientResponse(200, (), body)


ROW = '{"Machine":"m-%s","State":"up","Zone":"h","Id":"i-%s","Labels":["a"]}'


def list_hosts(*pages: str) -> list[maintenance_rounds.Host]:
    """List the hosts of some pages."""

    async def main() -> list[maintenance_rounds.Host]:
        client = _Pages(*pages)
        return await hosts.HostsClient(
            client, store.Store(client)
        ).list_hosts()

    return trio.run(main)


# Guards against a list of hosts that is not followed any more, for all hosts,
# as another writer left one malformed row in it.
@malformed_texts
@pytest.mark.parametrize("field", ["", "Machine", "State", "Id", "Labels"])
def test_malformed_row_of_a_host_hides_no_other(field: str, text: str) -> None:
    malformed = f'{{"Machine":"m-9","State":"up","{field}":{text}}}'
    malformed = malformed if field else text
    rows = [ROW % (1, 1), malformed, ROW % (2, 2)]
    page = f'{{"Machines":[{",".join(rows)}],"NextToken":"x"}}'
    last = f'{{"Machines":[{ROW % (3, 3)}]}}'
    found = list_hosts(page, last)
    for number in (1, 2, 3):
        name, worker_id = f"m-{number}", f"i-{number}"
        assert maintenance_rounds.Host(name, True, worker_id) in found
    assert len({host.name for host in found}) == len(found) <= 4
    assert all(isinstance(host.worker_id, str) for host in found)


# Guards against a malformed row that hides the sound one of the same host.
def test_sound_row_of_a_host_holds_against_a_malformed_one() -> None:
    malformed = '{"Machine":"m-1","State":[]}'
    rows = [malformed, ROW % (1, 1), malformed, '{"Machine":"m-2","State":7}']
    found = list_hosts(f'{{"Machines":[{",".join(rows)}]}}')
    assert sorted(found) == [
        maintenance_rounds.Host("m-1", True, "i-1"),
        maintenance_rounds.Host("m-2", False, ""),
    ]


# Guards against a side that ends by a malformed heartbeat, or takes its worker
# from one, such as one with a port out of range.
@malformed_texts
def test_malformed_heartbeat_is_refused_and_the_next_one_taken(
    text: str,
) -> None:
    fields = {
        "Service": '"desk"',
        "Zone": '"hall"',
        "State": '"ready"',
        "Address": '"10.1.0.9:80"',
        "Capacity": '{"Cpu":16000,"MemMb":32768,"Gpu":8}',
        "Labels": '["a","r1-3"]',
        "Seq": "4",
        "born": "1700000000000",
    }

    def decode(name: str = "") -> executors.Registration:
        malformed = fields | ({name: text} if name else {})
        rows = ",".join(f'"{key}":{value}' for key, value in malformed.items())
        document = http_server.parse_json(f"{{{rows}}}".encode())
        return executor.decode_registration("i-1", document, 0.0)

    for name in fields:
        if name in ("Service", "Zone") and text.startswith('"10.1.0.9:'):
            # Any short text is a name.
            continue
        with pytest.raises(errors.InvalidRequest):
            decode(name)
    assert decode().pool == "desk"


# Guards against an error that no caller expects, from the one function that
# all documents from outside pass through.
@malformed_texts
@pytest.mark.parametrize(
    "kind",
    [
        targets.Announcement,
        configuration.Configuration,
        evacuations.Evacuations,
        model.JobSpec,
        intents.Plan,
        intents.AccountSpec,
        configuration.SchedulingConfig,
    ],
)
def test_malformed_value_in_a_document_is_a_validation_error(
    kind: Any, text: str
) -> None:
    fields = plain.get_field_types(kind)
    scheduling = f'{{"scheduling":{{"starvation_s":{text}}}}}'
    documents = [f'{{"{name}":{text}}}' for name in fields]
    for document in (text, *documents, scheduling):
        try:
            value = http_server.parse_json(document.encode())
        except errors.InvalidRequest:
            continue
        try:
            plain.from_plain(kind, value)
        except plain.ValidationError:
            continue


# Guards against a malformed record of the operator's topic that ends an entry.
@malformed_texts
def test_malformed_record_of_the_operator_is_refused(text: str) -> None:
    texts = (
        text,
        f'{{"Version":{text}}}',
        f'{{"Version":1,"Routes":{text}}}',
        f'{{"Wave":1,"Machines":["m"],"DurationS":{text},"MaxCount":1}}',
        f'{{"Wave":1,"Machines":{text},"DurationS":1,"MaxCount":1}}',
    )
    for value in texts:
        for decode in (queues.decode_config, hosts.decode_wave):
            try:
                decode(value.encode())
            except errors.InvalidRequest:
                continue


# Guards against a follower that can never read its snapshot again, as one row
# of it is malformed.
@pytest.mark.parametrize(
    "malformed", ["3", "null", '{"Key":7,"Value":"dg==","Offset":3}', "{}"]
)
def test_malformed_row_of_a_snapshot_hides_no_other(malformed: str) -> None:
    row = '{"Key":"a","Value":"dg==","Offset":1}'
    page = f'{{"items":[{malformed},{row}],"End":4}}'

    async def main() -> keyed_log.ReadBatch:
        return await store.Store(_Pages(page)).read_snapshot("op")

    batch = trio.run(main)
    assert batch.records == (keyed_log.StoredRecord(1, "a", b"v"),)
