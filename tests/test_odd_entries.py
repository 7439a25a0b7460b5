"""Odd values of other writers: deeply nested, too large or no address."""

import asyncio
import base64
import collections
import collections.abc
import contextlib
import gc
import json
import logging
import time

import aiohttp
import gateway_fakes as fakes
import hypothesis
import pytest
from hypothesis import strategies

from cassiaquay_daemon import decoding, exceptions, positions
from cassiaquay_daemon.engines import engine_orders, engine_reports
from cassiaquay_daemon.links import frames
from cassiaquay_daemon.owners import requests
from cassiaquay_daemon.platform import documents, entries, reports, store
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import exceptions as schema_exceptions
from cassiaquay_schema import fleet, messages

MIB = 1024 * 1024
ENTRY = {
    "service": "plain",
    "addr": "127.0.0.1:9",
    "zone": "a",
    "version": "2.4",
    "slots": 1,
    "state": "draining",
    "cold-left-ms": 0,
    "seq": 1,
    "born": 1,
}
FIELDS = [*ENTRY, "unknown"]
DEPTHS = [10, 500, 980, 990, 995, 1000, 5000, 100_000, 500_000]


def _nested(depth: int) -> dict[str, str]:
    pairs = "[" * (depth // 2), "]" * (depth // 2)
    return {
        f"lists {depth}": "[" * depth + "]" * depth,
        f"objects {depth}": '{"a":' * depth + "1" + "}" * depth,
        f"mixed {depth}": '{"a":'.join(pairs[0]) + "1" + "}".join(pairs[1]),
        f"open {depth}": "[" * depth,
        f"open objects {depth}": '{"a":' * depth,
    }


NUMBERS = [
    *(str(2**bits) for bits in (63, 64, 128)),
    *(sign + number for sign in ("", "-") for number in ("1e308", "1e309", "0", "1")),
    *("9" * digits for digits in (400, 4300, 4301, 100_000, MIB)),
    *("0." + "1" * 100_000, "1e" + "9" * 30, "NaN", "Infinity", "1.5", '"1"'),
]
OTHERS = ["null", "true", "[]", "{}", '""', '"\\ud800"', '"\\u0000"', '"\udcff"', ""]
NESTED = {name: text for depth in DEPTHS for name, text in _nested(depth).items()}
VALUES = NESTED | {text[:20] + str(len(text)): text for text in NUMBERS + OTHERS}


def _entry(field: str, text: str) -> bytes:
    """Return an entry with a field of this JSON text."""
    value = json.dumps(ENTRY | {field: "VALUE"}).replace('"VALUE"', text)
    return value.encode(errors="surrogateescape")


@pytest.mark.parametrize("field", FIELDS)
def test_each_odd_value_of_a_field_is_decoded_or_skipped(field: str) -> None:
    """Guards against an entry whose decoding raises what no reader handles."""
    for text in VALUES.values():
        for value in (_entry(field, text), text.encode(errors="surrogateescape")):
            try:
                entries.decode("i-7", value, 9)
            except entries.InvalidEntry:
                continue


@pytest.mark.parametrize(
    "text",
    [
        "[" + "[]," * (MIB // 3 - 100) + "1]",
        "[" + "1," * (MIB // 2 - 100) + "1]",
        "[" + '{"a":1},' * (MIB // 8 - 100) + "1]",
        "{" + ",".join(f'"{number:06}":1' for number in range(MIB // 11)) + "}",
        '"' + "\\u00e9" * (MIB // 6) + '"',
        "9" * MIB,
        "[" * MIB,
    ],
    ids=["lists", "numbers", "objects", "keys", "text", "digits", "open"],
)
@pytest.mark.parametrize("field", ["version", "unknown", "service"])
def test_largest_entry_holds_the_loop_for_milliseconds(field: str, text: str) -> None:
    """Guards against an entry that costs a share of a second at each read."""
    value = _entry(field, text)
    seconds = []
    for _ in range(3):
        began_at = time.process_time()
        try:
            entries.decode("i-7", value, 9)
        except entries.InvalidEntry:
            pass
        seconds.append(time.process_time() - began_at)
    assert min(seconds) < 0.04


@pytest.mark.parametrize(
    "address",
    [
        *("127.0.0.1:" + port for port in ["0", "65536", "99999", "-1", "80.5", ""]),
        *("127.0.0.1:" + port for port in ["0x50", "+80", " 80", "80 ", "80\n"]),
        *("127.0.0.1:" + port for port in ["\uff18\uff10", "00080", "8" * 5000]),
        *(host + ":80" for host in ["0.0.0.0", "255.255.255.255", "224.0.0.1"]),
        *(host + ":80" for host in ["010.0.0.1", "1.2.3", "::1", "[::1]", "name"]),
        *(host + ":80" for host in ["", "a" * 400, "127.0.0.1:80", "1.2.3.256"]),
    ],
)
def test_address_that_no_server_has_is_skipped(address: str) -> None:
    """Guards against connections to another port, or to the instance's own host."""
    with pytest.raises(entries.InvalidEntry):
        entries.decode("i-7", json.dumps(ENTRY | {"addr": address}).encode(), 9)


@pytest.mark.parametrize("port", [1, 9, 65535])
def test_each_port_in_range_is_that_of_a_server(port: int) -> None:
    """Guards against servers that are skipped for the bounds of a port."""
    address = f"127.0.0.1:{port}"
    value = json.dumps(ENTRY | {"addr": address}).encode()
    assert entries.decode("i-7", value, 9).address == address


@pytest.mark.parametrize("name", ["", "i\n7", "i\r7", "i\0", "i" * 257, "\ud800"])
def test_name_that_no_header_can_carry_is_skipped(name: str) -> None:
    """Guards against servers to which no request can be addressed."""
    with pytest.raises(entries.InvalidEntry):
        entries.decode(name, json.dumps(ENTRY).encode(), 9)


ODD_ITEMS = {
    "value no text": '"value": 7, "revision": 1',
    "value nested": f'"value": {"[" * 900 + "]" * 900}, "revision": 1',
    "value no base64": '"value": "?", "revision": 1',
    "value not ASCII": '"value": "\u00e9", "revision": 1',
    "no value": '"revision": 1',
    "revision text": '"value": "e30=", "revision": "1"',
    "revision negative": '"value": "e30=", "revision": -1',
    "revision too large": f'"value": "e30=", "revision": {2**64}',
    "revision of digits": f'"value": "e30=", "revision": {"9" * 100_000}',
    "revision nested": '"value": "e30=", "revision": [[[]]]',
}


class ScriptedStore(standins.Store):
    """A store that answers all calls with one body, if it is given."""

    def __init__(self) -> None:
        super().__init__()
        self.body: bytes | None = None

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer with the body, or as usual."""
        if self.body is None:
            await super().respond(request, writer)
            return
        await raw_servers.send(writer, 200, self.body, {})


def _run_store(
    work: collections.abc.Callable[
        [ScriptedStore, aiohttp.ClientSession], collections.abc.Awaitable[None]
    ],
) -> None:
    async def bounded() -> None:
        standin = ScriptedStore()
        await standin.start()
        async with asyncio.timeout(20.0), aiohttp.ClientSession() as http:
            await work(standin, http)
        await standin.stop()

    asyncio.run(bounded())


@pytest.mark.parametrize("item", ODD_ITEMS.values(), ids=ODD_ITEMS)
def test_odd_item_of_a_listing_hides_no_other(item: str) -> None:
    """Guards against a list of servers that stays as it is for one item."""
    value = base64.b64encode(json.dumps(ENTRY).encode()).decode()
    sound = f'{{"key": "servers/i-1", "value": "{value}", "revision": 2}}'
    body = f'{{"items": [{{"key": "servers/a", {item}}}, {sound}], "current-rev": 9}}'

    async def work(standin: ScriptedStore, http: aiohttp.ClientSession) -> None:
        standin.body = body.encode()
        found = await store.ServersStore(http, standin.address).read()
        assert [entry.name for entry in found.entries] == ["i-1"]

    _run_store(work)


@pytest.mark.parametrize("place", ["items", "current-rev", "events", "unknown", ""])
def test_odd_answer_of_the_store_fails_as_any_other(place: str) -> None:
    """Guards against answers whose decoding ends the task that reads the store."""

    async def work(standin: ScriptedStore, http: aiohttp.ClientSession) -> None:
        client = store.Store(http, standin.address)
        for text in VALUES.values():
            body = text
            if place:
                body = f'{{"items": [], "events": [], "{place}": {text}}}'
            standin.body = body.encode(errors="surrogateescape")
            for read in (
                client.items("servers/"),
                client.item("op/config"),
                client.history("servers/", positions.Position(0, 9)),
                store.ConfigurationStore(http, standin.address).watch(
                    positions.START, 0.0
                ),
            ):
                try:
                    await read
                except exceptions.PlatformError:
                    continue

    _run_store(work)


@pytest.mark.parametrize("name", VALUES)
def test_odd_reports_and_documents_raise_nothing_else(name: str) -> None:
    """Guards against reports and numbers that end the work they are read for."""
    text = VALUES[name]
    data = text.encode(errors="surrogateescape")
    for body in (data, b'{"born": %b}' % data, b'{"born": 1, "unknown": %b}' % data):
        reports.read_started_ms(body)
        documents.number_of(body.decode(errors="replace").replace("born", "version"))


# No address at all, or one that a connection must not be tried at.
NO_ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", ":", "", "a" * 400]
NO_ADDRESSES += [f"127.0.0.1:{'9' * 5000}", "a\0b:80", f"{'a' * 400}:80", "127.0.0.1:0"]
DEFECTS = {"task_failed", "request_crashed", "message_unsendable", "relay_crashed"}
DEFECTS |= {"probe_failed", "peer_refused", "log_line_invalid"}


def _defects(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the lines of errors that nothing handles, also those of tasks."""
    gc.collect()
    lines = []
    for record in caplog.records:
        if record.msg in DEFECTS or record.name == "asyncio":
            lines.append(f"{record.msg} {record.__dict__}")
    return lines


def test_instances_go_on_beside_a_member_without_an_address(caplog) -> None:
    """Guards against links and relays that raise what no one handles."""

    async def work(site: fakes.Site) -> None:
        learn = site.daemons[0]._membership.facts.learn
        for number, address in enumerate(NO_ADDRESSES):
            name = f"cq-odd-{number}"
            addresses = {"http": address, "peer": address, "relay": address}
            odd = site.daemons[0]._membership.find("cq-2")
            learn(odd._replace(instance=name, admin=address, **addresses))
        for made in site.daemons:
            while made._membership.find("cq-odd-1") is None:
                await asyncio.sleep(0.02)
        for round_number in range(20):
            for at in range(2):
                path = ("/book/x", "/safe/x", "/stream/x")[round_number % 3]
                assert (await site.ask(path, at=at)).status == 200
            await asyncio.sleep(0.05)
        site.store.put("op/config", standins.configuration(2, tenants=[]))
        for at in range(2):
            while (await site.ask("/book/x", at=at)).status != 401:
                await asyncio.sleep(0.05)

    with caplog.at_level(logging.WARNING):
        fakes.run(work, 2)
    assert not _defects(caplog)


@pytest.mark.parametrize("address", NO_ADDRESSES)
def test_relay_without_an_address_has_sent_nothing(address: str) -> None:
    """Guards against requests that end as if they had run, for an address."""

    async def work(site: fakes.Site) -> None:
        own = site.daemons[0]
        odd = own._membership.find("cq-2")._replace(instance="odd", relay=address)
        forwarder = site.gateway(0)._parts.forwarder
        forwarder._relays.choose = lambda service: [odd]
        for engine in site.engines:
            forwarder._paths.doubt(engine.address, "test")
            forwarder._paths.failed(engine.address)
        forwarder._paths.is_open = lambda address: False
        response = await site.ask("/book/x")
        assert response.status == 503

    fakes.run(work, 2)


def test_list_of_another_instance_with_an_odd_entry_is_followed(caplog) -> None:
    """Guards against addresses and names that another release has let through."""

    async def work(site: fakes.Site) -> None:
        sender, receiver = site.daemons
        for made in site.daemons:
            made._servers._store.read = _fail
        entries_sent = sender._servers._registered.listed
        for number, address in enumerate(NO_ADDRESSES):
            odd = entries_sent[0]._replace(name=f"odd-{number}", address=address)
            entries_sent.append(odd)
        entries_sent.append(entries_sent[0]._replace(name="odd\nname"))
        entries_sent.append(entries_sent[0]._replace(name="i-9", service="plain"))
        position = receiver._servers.position
        listed = messages.ServerList(
            position.revision + 5, 0, entries_sent, epoch=position.epoch
        )
        for link in sender._peers.open_links():
            link.send(listed)
        while "i-9" not in _usable(receiver):
            await asyncio.sleep(0.02)
        assert not [name for name in _usable(receiver) if name.startswith("odd")]
        for _ in range(10):
            assert (await site.ask("/safe/x", at=1)).status == 200

    with caplog.at_level(logging.WARNING):
        fakes.run(work, 2)
    assert not _defects(caplog)


async def _fail() -> None:
    raise exceptions.PlatformError("injected")


def _usable(made) -> set[str]:
    names = set()
    for pool in made._configuration.current.fleet.pools.values():
        names.update(server.name for server in pool.servers)
    return names


@pytest.mark.parametrize("address", NO_ADDRESSES)
def test_probe_of_no_address_fails_as_any_other(address: str) -> None:
    """Guards against probes that end with an error of the socket's own kind."""

    async def work(site: fakes.Site) -> None:
        await site.gateway(0)._prober._dialer.probe(address)

    fakes.run(work)


@pytest.mark.parametrize("place", ["unknown", "sequence", "running", "model", ""])
def test_odd_report_of_an_engine_fails_as_any_other(place: str) -> None:
    """Guards against reports whose decoding ends the task that polls engines."""
    found = {"sequence": 1, "events": [], "age_ms": 1, "running": 1, "waiting": 1}
    found |= {"model": "m", "version": "1", "adapters": [], "role": "r", "fence": 1}

    async def work(standin: ScriptedStore, http: aiohttp.ClientSession) -> None:
        server = fleet.Server(name="i-1", address=standin.address, domain="a")
        reader = engine_reports.EngineHttp(http)
        for text in VALUES.values():
            odd = json.dumps(found | {place: "VALUE"}).replace('"VALUE"', text)
            body = odd if place else text
            standin.body = body.encode(errors="surrogateescape")
            for read in (
                reader.read_events(server, 1),
                reader.read_load(server),
                engine_orders.EngineOrdersHttp(http).read(server),
            ):
                with contextlib.suppress(exceptions.BackendError):
                    await read

    _run_store(work)


@pytest.mark.parametrize("name", VALUES)
def test_odd_body_of_a_caller_is_refused_or_read(name: str) -> None:
    """Guards against bodies that end in another error than a refusal."""
    data = VALUES[name].encode(errors="surrogateescape")
    for body in (data, b'{"service": %b}' % data, b'{"unknown": %b}' % data):
        requests.service_of(body)
        with contextlib.suppress(exceptions.BadRequest):
            requests.read(body)


DOCUMENT = json.loads(json.dumps(standins.configuration(2)))
DOCUMENT["routes"][0]["backends"] = [{"service": "plain", "weight": 1.0}]
DOCUMENT["services"] = [
    {
        "name": "chat",
        "engine": {"stride": 1},
        "cold-start-s": 1.0,
        "cold-per-s": 1.0,
    }
]
DOCUMENT["limits"] = {
    "max-header-bytes": 1000,
    "max-body-bytes": 1000,
    "header-timeout-ms": 1000.0,
    "idle-timeout-ms": 1000.0,
}
DOCUMENT["tenants"] = [
    {
        "name": "blue",
        "api-keys": ["key"],
        "priority": 1,
        "unit": "tokens",
        "plain-tokens": 1,
        "rate-per-s": 1.0,
        "burst": 1.0,
    }
]


def _places(value: object, place: tuple = ()) -> list[tuple]:
    """Return the place of each value within a document, the document's first."""
    found = [place]
    items: list = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))[:1]
    for key, item in items:
        found += _places(item, (*place, key))
    return found


def _with_value(value: object, place: tuple, text: str) -> str:
    """Return a document as JSON with the value at a place replaced by a JSON text."""
    document = json.loads(json.dumps(value))
    if not place:
        return text
    parent = document
    for key in place[:-1]:
        parent = parent[key]
    parent[place[-1]] = "VALUE"
    return json.dumps(document).replace('"VALUE"', text)


@pytest.mark.parametrize("place", _places(DOCUMENT), ids=str)
def test_odd_value_in_a_configuration_is_refused_or_can_be_sent(place: tuple) -> None:
    """Guards against configurations that raise where they are read or sent on."""
    for text in VALUES.values():
        data = _with_value(DOCUMENT, place, text).encode(errors="surrogateescape")
        with contextlib.suppress(UnicodeDecodeError, schema_exceptions.SchemaError):
            document = data.decode()
            found = documents.read(7, document)
            number = documents.number_of(document)
            frames.encode(messages.ConfigurationText(7, found.text, number or 0, 1))


ODD_ENTRIES: dict[str, object] = {
    "nested": b"[" * 100_000,
    "nested version": _entry("version", "[" * 900 + "]" * 900),
    "nested unknown": _entry("unknown", '{"a":' * 500_000),
    "large version": _entry("version", "[" + "[]," * (MIB // 4) + "1]"),
    "seq": ENTRY | {"seq": 2**128, "state": "ready"},
    "cold": _entry("cold-left-ms", "1e309"),
    "slots": _entry("slots", "9" * 100_000),
    "born": _entry("born", "9" * 400),
    "port": ENTRY | {"addr": "127.0.0.1:99999", "state": "ready"},
    "port 0": ENTRY | {"addr": "127.0.0.1:0", "state": "ready"},
    "host": ENTRY | {"addr": "255.255.255.255:80", "state": "ready"},
    "host long": ENTRY | {"addr": f"{'a' * 400}:80", "state": "ready"},
    "packed": b"\x91" * 5000,
    "bytes": b"\xff" * 100,
    "empty": b"",
    "null": b"null",
    "": ENTRY,
    "slash/slash": ENTRY | {"seq": -1},
    "\u00e9" * 90: ENTRY | {"seq": "1"},
}


def _write_odd_entries(site: fakes.Site) -> None:
    for name, value in ODD_ENTRIES.items():
        site.store.put(f"servers/{name}", value)
    # An entry that is whole but for its name, and so would get requests.
    odd = ENTRY | {"addr": site.engines[0].address, "state": "ready", "slots": 4}
    site.store.put("servers/odd\nname", odd)
    site.store.put("op/inventory", b"[" * 100_000)
    site.store.put("op/evacuate/", b"")
    site.store.put("op/evacuate/\u00e9\n" + "z" * 150, b"\xff")


async def _follow_changes(site: fakes.Site, number: int) -> None:
    """Change servers and configuration, and wait until each daemon follows."""
    added = await site.add_engine(f"i-{number}")
    gone = f"i-{number - 1}-plain"
    site.store.put(f"servers/{gone}", ENTRY)
    tenants = [{"name": "blue", "api-keys": ["key", f"key-{number}"]}]
    site.store.put("op/config", standins.configuration(number, tenants=tenants))
    for at, made in enumerate(site.daemons):
        while f"{added.name}-plain" not in _usable(made) or gone in _usable(made):
            await asyncio.sleep(0.02)
        while made._configuration.revision != number:
            await asyncio.sleep(0.02)
        for path in ("/book/x", "/safe/x", "/stream/x"):
            answer = await site.ask(path, at=at, Api_Key=f"key-{number}")
            assert answer.status == 200
    assert not any(task.done() for task in site._tasks)


def test_changes_are_followed_beside_odd_entries(caplog) -> None:
    """Guards against instances that end, or follow nothing, beside odd entries."""

    async def work(site: fakes.Site) -> None:
        for number in (4, 6):
            _write_odd_entries(site)
            await _follow_changes(site, number)
            for made in site.daemons:
                assert "odd\nname" not in _usable(made)
            for key in list(site.store.items):
                if key.removeprefix("servers/") in {*ODD_ENTRIES, "odd\nname"}:
                    site.store.remove(key)
            await _follow_changes(site, number + 1)

    async def run() -> None:
        site = fakes.Site()
        async with asyncio.timeout(40.0):
            await site.engines[0].start()
            _write_odd_entries(site)
            await site.engines[0].stop()
            await site.start(2)
            try:
                await work(site)
            finally:
                await site.stop()

    with caplog.at_level(logging.WARNING):
        asyncio.run(run())
    assert not _defects(caplog)
    logged = collections.Counter(
        (record.server, record.revision)
        for record in caplog.records
        if record.msg == "server_entry_skipped"
    )
    # Once by each instance that has read the store.
    assert max(logged.values()) <= 2


@pytest.mark.parametrize(
    "value",
    [b"\xff", b"\x91" * 1000, b"[" * 100_000, b"null", b"[]", b"", b"9" * 100_000],
    ids=["no text", "packed", "nested", "null", "list", "empty", "digits"],
)
def test_changes_are_followed_beside_an_odd_configuration(value: bytes, caplog) -> None:
    """Guards against servers that are not followed while the configuration is odd."""

    async def work(site: fakes.Site) -> None:
        site.store.put("op/config", value)
        await site.add_engine("i-3")
        for at, made in enumerate(site.daemons):
            while "i-3" not in _usable(made):
                await asyncio.sleep(0.02)
            assert (await site.ask("/book/x", at=at)).status == 200
        await _follow_changes(site, 4)

    with caplog.at_level(logging.WARNING):
        fakes.run(work, 2)
    assert not _defects(caplog)
    rejected = [line for line in caplog.records if line.msg == "configuration_rejected"]
    # Once by each instance that has read it.
    assert 1 <= len(rejected) <= 2


def test_evacuation_without_a_name_takes_no_server_out_of_use() -> None:
    """Guards against a key of another writer that empties a fleet without zones."""

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            site.register(engine, zone="")
        site.store.put("op/evacuate/", b"")
        site.store.put("op/evacuate/b", b"")
        made = site.daemons[0]
        while "b" not in made._configuration.current.fleet.evacuated:
            await asyncio.sleep(0.02)
        assert made._configuration.current.fleet.evacuated == ["b"]
        assert (await site.ask("/book/x")).status == 200

    fakes.run(work)


PACKED = {
    "number": b"\xcf" + b"\xff" * 8,
    "negative": b"\xd3\x80" + b"\0" * 7,
    "nan": b"\xcb\x7f\xf8" + b"\0" * 6,
    "text": b"\xa2\xff\xff",
    "long": b"\xdb\0\x10\0\0" + b"a" * MIB,
    "list": b"\xdd\xff\xff\xff\xff",
    "map": b"\x81\x90\x01",
    "nested": b"\x91" * 900 + b"\x01",
    "too nested": b"\x91" * 5000 + b"\x01",
}


def _frame(code: int, value: bytes) -> bytes:
    """Return a message of a code whose fields all have one value."""
    count = len(messages.BY_CODE[code]._fields) if code in messages.BY_CODE else 1
    return b"\xdc\0%c%c" % (count + 1, code) + value * count


def test_odd_frame_is_a_message_or_an_invalid_frame() -> None:
    """Guards against bytes of a peer that raise more than the loss of its link."""
    for code in range(128):
        for value in PACKED.values():
            with contextlib.suppress(exceptions.InvalidFrame):
                frames.Decoder().feed(_frame(code, value))
    for depth in (10, 1022, 1024, 5000, MIB):
        for opening in (b"\x91", b"\x81\xa1a", b"\x81"):
            with contextlib.suppress(exceptions.InvalidFrame):
                frames.Decoder().feed(opening * depth + b"\x01")


def test_instances_go_on_after_odd_frames(caplog) -> None:
    """Guards against instances that stay apart, or end, after frames of a peer."""

    async def work(site: fakes.Site) -> None:
        sender = site.daemons[0]
        for name, code in zip(PACKED, (1, 2, 3, 4, 5, 6, 3, 3, 127), strict=True):
            while not sender._peers.open_links():
                await asyncio.sleep(0.02)
            for link in sender._peers.open_links():
                link._writer.write(_frame(code, PACKED[name]))
            await asyncio.sleep(0.2)
            assert (await site.ask("/book/x", at=1)).status == 200
        await _follow_changes(site, 4)
        for made in site.daemons:
            while len(made._membership.serving()) < 2:
                await asyncio.sleep(0.02)

    with caplog.at_level(logging.WARNING):
        fakes.run(work, 2)
    refused = [line for line in caplog.records if line.msg == "peer_refused"]
    assert len(refused) <= 2 * len(PACKED)
    assert not [line for line in _defects(caplog) if "peer_refused" not in line]


@pytest.mark.parametrize("mark", ["\ud800", "\udcff", "\ud83d\ude00\udcff", "\\\udc80"])
def test_key_with_a_lone_surrogate_hides_no_other(mark: str, caplog) -> None:
    """Guards against a list that cannot be decoded for the bytes of one key."""

    async def work(site: fakes.Site) -> None:
        odd = ENTRY | {"addr": site.engines[0].address, "state": "ready", "slots": 4}
        for name in (f"i-1{mark}", f"{mark}z", f"z{mark}"):
            site.store.put(f"servers/{name}", odd)
            site.store.put(f"op/{name}", b"")
        await _follow_changes(site, 4)
        for made in site.daemons:
            assert not [name for name in _usable(made) if "\ufffd" in name]

    with caplog.at_level(logging.WARNING):
        fakes.run(work, 2)
    assert not _defects(caplog)


@hypothesis.given(
    strategies.text('\ud800\udbff\udc00\udfff\\u"d8\U0001f600a', max_size=12)
)
def test_text_with_lone_surrogates_can_be_decoded(text: str) -> None:
    """Guards against escapes that are replaced within other escapes."""
    body = decoding.replace_lone_surrogates(json.dumps(text).encode())
    joined = text.encode("utf-16-be", "surrogatepass").decode("utf-16-be", "replace")
    assert decoding.decode_json(body, str) == joined
