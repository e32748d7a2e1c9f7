"""Draws entries of other writers, and shows what a process makes of lists with them."""

import contextlib
import json
import os
import random

import attrs
from absl import logging as absl_logging
from hypothesis import strategies as st

from cassiahill import clock, errors, event_log, heartbeats, http1, shared_store
from cassiahill.catalog import Catalog
from cassiahill.catalog_feed import CatalogFeed, CatalogSource
from cassiahill.loop import LoopFuture, completed_future
from cassiahill.server_group import ServerGroup
from tests import adapter_path
from tests.line_group import InMemoryDialect
from tests.server_entries import SERVER_ENTRY
from tests.stepped_loop import SteppedLoop

with adapter_path.importable():
    from adapter import documents, store_answers

OWN_IDS = ("i-1", "i-2", "i-3")
OWN_ENTRY = {**SERVER_ENTRY, "addr": "127.0.0.1:1"}
ERA = 1
LIST_REVISION, WATCH_REVISION = 10, 20
PIPE_BYTES = 1_000_000

DAMAGED_VALUES = (
    b"1" + b"0" * 4999,
    b"-1" + b"0" * 400,
    b"1e999",
    b"NaN",
    b"-Infinity",
    b"01",
    b"tru",
    b"[1,]",
    b'{"a" 1}',
    b"{[1]:2}",
    b'{1:2,"a":}',
    b"{" * 2000 + b"1" + b":1}" * 2000,
    b'{"a":\x0b1}',
    b"[" * 3000 + b"]" * 3000,
    b'"\\udcff"',
    b'"\\ud83d \\ude00"',
    b'{"\\ud800":"\\udfff"}',
    b'"\\x"',
    b'"a\x01\r\nb"',
    b'"\xff\xfe[{"',
)
VALUES = st.one_of(
    st.sampled_from(DAMAGED_VALUES),
    st.recursive(
        st.one_of(st.none(), st.booleans(), st.integers(), st.text(max_size=4)),
        lambda inner: st.dictionaries(st.text(max_size=3), inner, max_size=2),
        max_leaves=4,
    ).map(lambda value: json.dumps(value).encode()),
)
NAMES = st.tuples(
    st.sampled_from((b"a-", b"i-1-", b"i-2", b"z-")),
    st.one_of(
        st.sampled_from((b"\\udcff", b"\\ud800x", b"\xff", b"\\x", b"\x01")),
        st.text("xyz", min_size=1, max_size=2).map(str.encode),
    ),
).map(lambda parts: b'"' + b"".join(parts) + b'"')


def encode_item(name, spec):
    """Return the bytes of an object in a list, from those of its name and content."""
    return b'{"meta":{"name":%s,"revision":5},"spec":%s}' % (name, spec)


def own_item(server_id, **changes):
    """Return the bytes of an own server's entry in a list."""
    spec = json.dumps({**OWN_ENTRY, **changes}).encode()
    return encode_item(b'"%s"' % server_id.encode(), spec)


def encode_spec(values_by_field):
    """Return the bytes of a content, from those of its values."""
    members = [b'"%s":%s' % (name.encode(), v) for name, v in values_by_field.items()]
    return b"{" + b",".join(members) + b"}"


def _damaged_entry(changes, missing):
    """Return a content that lacks a field, or has another one than it should."""
    values = {name: json.dumps(value).encode() for name, value in OWN_ENTRY.items()}
    values = {**values, **changes}
    for name in missing:
        values.pop(name)
    return encode_spec(values)


FIELDS = st.sampled_from(sorted(OWN_ENTRY))
# Of a group that nobody has; whether its other fields are sound makes no difference.
FOREIGN_SPECS = st.one_of(
    VALUES,
    st.builds(
        lambda changes: _damaged_entry({**changes, "service": b'"elsewhere"'}, ()),
        st.dictionaries(st.one_of(FIELDS, st.just("new")), VALUES, max_size=2),
    ),
)
# Of the own group, but without one of the fields.
LACKING_SPECS = st.builds(lambda name: _damaged_entry({}, [name]), FIELDS)
FOREIGN_ITEMS = st.one_of(
    VALUES,
    st.builds(encode_item, NAMES, FOREIGN_SPECS),
    st.builds(encode_item, NAMES, LACKING_SPECS),
)


def draw_foreign_items():
    """Return a strategy for items before, between and behind those of own servers."""
    between = st.lists(FOREIGN_ITEMS, max_size=2)
    return st.tuples(*(between for _ in range(len(OWN_IDS) + 1)))


def _mix(own_items, foreign_items):
    """Return own items with foreign ones around each, separated by commas."""
    mixed = list(foreign_items[0])
    for own, foreign in zip(own_items, foreign_items[1:], strict=True):
        mixed += [own, *foreign]
    return b",".join(mixed)


class _BodiesStore(shared_store.SharedStore):
    """A store that answers one list and one watch, and then nothing."""

    def __init__(self, items, events):
        self.era = ERA
        self._list_body = b'{"items":[%s],"more":false,"storeRevision":%d}' % (
            items,
            LIST_REVISION,
        )
        self._watch_body = b'{"events":[%s],"storeRevision":%d}' % (
            events,
            WATCH_REVISION,
        )
        self.is_watched = False

    def list(self, kind, may_be_stale=False):
        if kind != documents.SERVERS_KIND:
            return LoopFuture()
        answer = store_answers.Answer(self._list_body, ERA)
        page = store_answers.decode_page(answer)
        return completed_future(shared_store.Snapshot(page.objects, page.revision))

    def watch(self, kind, revision, wait_seconds=0.0):
        if self.is_watched:
            return LoopFuture()
        self.is_watched = True
        answer = store_answers.Answer(self._watch_body, ERA)
        return completed_future(store_answers.decode_changes_answer(answer, revision))


class _SilentStore(shared_store.SharedStore):
    """A store that answers nothing."""

    def list(self, kind, may_be_stale=False):
        return LoopFuture()


@attrs.frozen
class Outcome:
    """What a process makes of the own servers.

    Attributes
    ----------
    listed, watched, of_peer : dict
        Own servers after the list, after the watch, and at a peer that took the view.
    log : list of tuple
        Events of own servers.
    dump : dict
        Of the own group.
    """

    listed: dict
    watched: dict
    of_peer: dict
    log: list
    dump: dict


class _Process:
    """A feed with the groups that it fills."""

    def __init__(self, loop, store):
        self._loop = loop
        self._groups_by_name = {}
        self._catalog = Catalog()
        source = CatalogSource(
            documents.CONFIGURATION_KIND,
            documents.CONFIGURATION_NAME,
            documents.SERVERS_KIND,
            documents.decode_configuration,
            documents.decode_server,
        )
        self.feed = CatalogFeed(
            loop,
            store,
            self._catalog,
            source,
            random.Random(1),
            lambda: None,
            self._put_server,
        )

    def _put_server(self, change):
        server = change.server
        if server.group not in self._groups_by_name:
            self._groups_by_name[server.group] = ServerGroup(
                self._loop,
                InMemoryDialect(),
                server.group,
                "proxy-1",
                "zone-a",
                lambda _server_id: None,
                _refuse,
            )
        group = self._groups_by_name[server.group]
        group.put_server(server, getattr(change, "previous", None))

    def own_servers(self):
        """Return the own servers that the process knows, by id."""
        return self._catalog.servers_of("orders")

    def dump(self):
        """Return the dump of the own group as an operator gets it."""
        dumps = {name: group.dump() for name, group in self._groups_by_name.items()}
        return json.loads(http1.json_response(dumps).body).get("orders")

    def close(self):
        """Close feed and groups."""
        self.feed.close()
        for group in self._groups_by_name.values():
            group.close()


def _refuse(*_args):
    raise errors.ConnectionLost("refused")


def outcome(foreign_items):
    """Return the ``Outcome`` of a list and a watch with items of other writers."""
    own_items = [own_item(server_id) for server_id in OWN_IDS]
    own_events = [
        b'{"object":%s,"deleted":false}' % own_item("i-1", state="draining", seq=5),
        b'{"object":%s,"deleted":false}' % own_item("i-2", dbRole="primary", seq=5),
        b'{"object":%s,"deleted":true}' % own_item("i-3"),
    ]
    foreign_events = [
        [b'{"object":%s,"deleted":false}' % item for item in items]
        for items in foreign_items
    ]
    store = _BodiesStore(
        _mix(own_items, foreign_items), _mix(own_events, foreign_events)
    )
    loop = SteppedLoop()
    with _logged_lines(loop.clock) as lines:
        process = _Process(loop, store)
        loop.advance(0.1)
        listed = process.own_servers()
        loop.advance(0.5)
        watched = process.own_servers()
        peer = _Process(loop, _SilentStore())
        peer.feed.set_resting(True)
        body = http1.json_response(process.feed.view(heartbeats.KnownVersions())).body
        peer.feed.apply_view(heartbeats.decode_view(body), "proxy-1")
        result = (listed, watched, peer.own_servers(), process.dump())
        for each in (process, peer):
            each.close()
    loop.close()
    log = [
        (line["event"], line["server"])
        for line in lines
        if line.get("server") in OWN_IDS and line["event"] != "server_unreadable"
    ]
    return Outcome(*result[:3], log, result[3])


@contextlib.contextmanager
def _logged_lines(clock_source: clock.Clock):
    """Yield a list that has the lines of a process's own log at the end."""
    read_end, write_end = os.pipe()
    writer = event_log.BoundedWriter(write_end, clock_source)
    writer.setFormatter(event_log.JsonFormatter(clock_source, "proxy-1"))
    logger = absl_logging.get_absl_logger()
    verbosity = absl_logging.get_verbosity()
    handlers, logger.handlers[:] = logger.handlers[:], [writer]
    propagates, logger.propagate = logger.propagate, False
    absl_logging.set_verbosity(absl_logging.INFO)
    lines = []
    try:
        yield lines
    finally:
        logger.handlers[:] = handlers
        logger.propagate = propagates
        absl_logging.set_verbosity(verbosity)
        writer.flush()
        os.close(write_end)
        with os.fdopen(read_end, "rb") as reader:
            lines += map(json.loads, reader.read(PIPE_BYTES).splitlines())
