"""Entries of upstreams that another writer made, from the store to the balancer."""

import json

from features.steps import kernel
from features.support import captured_events, odd_content, store_reading
from spindlenotch import events, ids
from spindlenotch.gateway.source import bad_items, sources
from spindlenotch_platform import records, store_client

#: What is put in place of a whole entry.
ODD_ENTRIES = (
    b"",
    b"\xff\xfe\x00",
    b"{",
    b"[]",
    b"null",
    b'"ready"',
    b"{}",
    b"[" * 200_000,
    b'{"x":' * 200_000,
)
ODD_STATES = ("joining", "READY", "")
ODD_ADDRESSES = ("", "odd", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "a b:80")
#: Fields that have a default where they are missing.
OPTIONAL = ("coldLeftS", "version", "callSeq", "born")


def odd_entries() -> list[store_reading.Plain | bytes]:
    """Return entries that name no upstream to use."""
    found: list[store_reading.Plain | bytes] = list(ODD_ENTRIES)
    found += [store_reading.entry(state=word) for word in ODD_STATES]
    found += [store_reading.entry(address=word) for word in ODD_ADDRESSES]
    found += [store_reading.entry(slots=number) for number in (0, -1, 10**9, 10**40)]
    found += [store_reading.entry(born=number) for number in (-1, 2**63, 10**40, 1.5)]
    found += [store_reading.entry(zone="")]
    for field in store_reading.entry():
        if field not in OPTIONAL:
            found.append({k: v for k, v in store_reading.entry().items() if k != field})
        found += [
            store_reading.entry(**{field: value})
            for value in odd_content.ODD_VALUES
            if not is_of_same_type(value, store_reading.entry()[field])
        ]
    return found


def is_of_same_type(value: object, good: object) -> bool:
    """Tell whether a value may stand where ``good`` does."""
    if isinstance(good, str):
        return isinstance(value, str)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and (isinstance(good, float) or isinstance(value, int))


@kernel.PROPERTIES.register("an entry of another writer takes its upstream out of use")
def in_place_of_good() -> None:
    rest = set(store_reading.NAMES) - {"u1"}
    for odd in odd_entries():
        playing = store_reading.Reading()
        playing.follow(store_reading.item("u1", odd))
        assert playing.in_use() == rest, odd
        # So it is where everything is read anew, and in what peers are told.
        playing.read(
            *(
                store_reading.item(n, odd if n == "u1" else store_reading.entry())
                for n in store_reading.NAMES
            )
        )
        assert playing.in_use() == rest, odd
        told = playing.state.listing.listed(playing.clock.now())
        assert {one.id for one in told} == rest, odd


@kernel.PROPERTIES.register("numbers out of bounds in an entry are read as bounds")
def odd_numbers() -> None:
    for field, value, expected in (
        ("coldLeftS", -3, 0.0),
        ("coldLeftS", 1e300, records.MOST_COLD_S),
        ("coldLeftS", 10**40, records.MOST_COLD_S),
        ("callSeq", -(10**40), 0.5),
        ("callSeq", 0, 0.5),
    ):
        data = json.dumps(store_reading.entry(**{field: value})).encode()
        found = records.read_upstream("servers/u", data)
        assert isinstance(found, sources.ListedUpstream), (field, found)
        assert found.cold_s == expected, (field, value)
    marked = json.dumps(store_reading.entry(coldLeftS=99))
    for text in odd_content.ODD_TEXTS:
        spoilt = marked.replace("99", text).encode()
        found = records.read_upstream("servers/u", spoilt)
        assert isinstance(found, sources.BadItem), text
    for field in OPTIONAL:
        plain = {k: v for k, v in store_reading.entry().items() if k != field}
        found = records.read_upstream("servers/u", json.dumps(plain).encode())
        assert isinstance(found, sources.ListedUpstream), field
    for name in ("", "a b", "a\r\nHost: x", "\u00e9", "x" * 201):
        data = json.dumps(store_reading.entry()).encode()
        found = records.read_upstream(records.UPSTREAM_PREFIX + name, data)
        assert isinstance(found, sources.BadItem), name


@kernel.PROPERTIES.register("an entry of another writer has no grace after an outage")
def no_grace() -> None:
    for anew in (True, False):
        playing = store_reading.Reading()
        playing.state.listing.note_outage_end(playing.clock.now())
        playing.clock.advance(0.5)
        change = playing.read if anew else playing.follow
        change(*(store_reading.item(name, b"odd") for name in store_reading.NAMES))
        assert playing.in_use() == set()
        # Those that only vanish are kept for a while.
        kept = store_reading.Reading()
        kept.state.listing.note_outage_end(kept.clock.now())
        kept.clock.advance(0.5)
        change = kept.read if anew else kept.follow
        change(
            *(
                ()
                if anew
                else [store_reading.item(name, None) for name in store_reading.NAMES]
            )
        )
        assert kept.in_use() == set(store_reading.NAMES)


@kernel.PROPERTIES.register("a good entry after one of another writer is used again")
def good_again() -> None:
    playing = store_reading.Reading()
    name = ids.UpstreamId("u1")
    before = playing.state.listing.lease_by_id[name].spec.generation
    playing.follow(
        store_reading.item("u1", b"odd"),
        store_reading.item("u1", store_reading.entry()),
    )
    assert playing.in_use() == set(store_reading.NAMES)
    playing.follow(store_reading.item("u1", b"odd"))
    assert playing.in_use() == set(store_reading.NAMES) - {"u1"}
    playing.follow(store_reading.item("u1", store_reading.entry()))
    assert playing.in_use() == set(store_reading.NAMES)
    assert playing.state.listing.lease_by_id[name].spec.generation > before
    # Of an entry that vanishes next only that counts.
    playing.follow(store_reading.item("u1", b"odd"), store_reading.item("u1", None))
    assert playing.in_use() == set(store_reading.NAMES) - {"u1"}


@kernel.PROPERTIES.register("peers drop an upstream whose entry another writer made")
def through_peers() -> None:
    reader, peer = store_reading.Reading(), store_reading.Reading()
    reader.follow(store_reading.item("u1", b"odd"))
    now = reader.clock.now()
    peer.state.apply_listing(reader.state.listing.listed(now), 99)
    assert peer.in_use() == set(store_reading.NAMES) - {"u1"}


@kernel.PROPERTIES.register("entries of another writer are told once, and of few lines")
def few_lines() -> None:
    playing = store_reading.Reading()
    refused = events.Event.SOURCE_ITEM_REFUSED
    with captured_events.capture() as seen:
        for _ in range(50):
            playing.follow(store_reading.item("u1", b"odd"))
        assert len(seen.of(refused)) == 1
        assert playing.published == 1
        for number in range(50):
            playing.follow(store_reading.item("u1", store_reading.entry(slots=-number)))
        assert len(seen.of(refused)) == bad_items.MAX_LINES_PER_ITEM
        # Those of many others too, and what is remembered of them.
        for _ in range(3):
            odd = [
                store_reading.item(f"x{n}", b"odd")
                for n in range(3 * bad_items.MAX_REMEMBERED_ITEMS)
            ]
            playing.follow(*odd)
            playing.clock.advance(10.0)
        assert len(seen.of(refused)) == bad_items.MAX_LINES
        playing.clock.advance(bad_items.WINDOW_S)
        playing.follow(store_reading.item("u2", b"odd"))
        assert len(seen.of(refused)) == bad_items.MAX_LINES + 1
    counted = playing.state.metrics.bad_items.labels("servers")
    assert counted._value.get() == 101 + 9 * bad_items.MAX_REMEMBERED_ITEMS


@kernel.PROPERTIES.register("an item that is none spoils no other of its page")
def no_item() -> None:
    for value in (7, None, True, {"odd": 1}, ["odd"], "no base64", "\u00e9", "e30"):
        playing = store_reading.Reading()
        odd = store_client.Item(records.UPSTREAM_PREFIX + "u1", 1, value)
        playing.follow(odd, store_reading.item("u2", store_reading.entry(slots=2)))
        assert playing.in_use() == set(store_reading.NAMES) - {"u1"}, value
        lease = playing.state.listing.lease_by_id[ids.UpstreamId("u2")]
        assert lease.spec.slots == 2, value
        playing.read(odd, store_reading.item("u2", store_reading.entry()))
        assert playing.in_use() == {"u2"}, value


@kernel.PROPERTIES.register("a service that is not configured yet is used once it is")
def not_configured() -> None:
    playing = store_reading.Reading()
    pool = playing.state.balancer_by_service[store_reading.SERVICE].pool
    moving = pool.upstream_by_id[ids.UpstreamId("u1")]
    moving.sent(ids.CallId("under-way"), playing.clock.now())
    with captured_events.capture() as seen:
        playing.follow(
            store_reading.item("u1", store_reading.entry(service=store_reading.OTHER))
        )
        assert playing.in_use() == set(store_reading.NAMES) - {"u1"}
        assert not seen.of(events.Event.SOURCE_ITEM_REFUSED)
    playing.state.apply_configuration(
        store_reading.configuration(2, store_reading.SERVICE, store_reading.OTHER)
    )
    assert playing.in_use(store_reading.OTHER) == {"u1"}
    # And back, while a call that was sent to it before has not ended.
    playing.follow(store_reading.item("u1", store_reading.entry()))
    assert playing.in_use() == set(store_reading.NAMES)
    assert playing.in_use(store_reading.OTHER) == set()
