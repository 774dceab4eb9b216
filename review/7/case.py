"""A host that is cut off from the others takes streams up at a software version that did not begin
them."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from platform2 import (  # noqa: E402
    TROUBLE, Engine, Failed, Fleet, now, read_stream, run, stream_route, wait_ready,
)

STREAMS = 8
OLD = 3
BUDGET_S = 12.0
CUT_S = 11.0
EVENTS = 30


def headers(request, session, left, more=()):
    return [
        ("Yuccawing-Request-Id", request), ("Authorization", "Bearer key-kept"),
        ("Yuccawing-Deadline-Ms", int(left * 1000)), ("Yuccawing-Model", "m"),
        ("Yuccawing-Token-Count", "1460,120"),
        ("Yuccawing-Prefix-Hash", f"5c1e07a2:800,91bd3f06:410,{session}:250"), *more,
    ]


async def case():
    fleet = Fleet(os.environ.get("OUT", HERE), hosts=5, replicas=1, linked=True)
    record = fleet.record
    own = fleet.replicas[0].address[0]
    zones = ["akl-a", "akl-b", "ham-a", "wlg-a"]
    old = [
        Engine(record, f"e-old-{i}", (own, fleet.own_port + 40 + i), zones[i % 4], "1.4.0", EVENTS)
        for i in range(OLD)
    ]
    new = Engine(record, "e-new", (own, fleet.own_port + 50), "akl-a", "1.5.0", EVENTS)
    fleet.replicas += old
    events = {i: [] for i in range(STREAMS)}
    try:
        await fleet.start(stream_route())
        await asyncio.sleep(4.0)
        others, cut_off = fleet.hosts[:4], fleet.hosts[4]

        async def turn(i, name, note):
            """One request of session `i`. A client that loses its channel takes its stream up at
            another host, in the end at the one that is cut off."""
            begun, attempt, last, first = now(), 0, 0, None
            while (left := BUDGET_S - (now() - begun)) > 0.5:
                attempt += 1
                request = f"{name}-{i}-{attempt}"
                more = [("Last-Event-Id", last), ("Resumes", first)] if last else []

                def on_event(n, data):
                    nonlocal last, first
                    first = first or request
                    last = n
                    note(n, data)

                host = cut_off if last else others[(i + attempt) % len(others)]
                record.line(f"send {request} to {host.name} after event {last}")
                try:
                    session = f"e4402b{i:02x}"
                    status, complete = await read_stream(
                        host.front, "/audit/1", headers(request, session, left, more), on_event, left
                    )
                    record.line(f"{request}: {status}, complete {complete}, last event {last}")
                    if complete:
                        return
                except Failed as e:
                    record.line(f"{request}: {e}, last event {last}")
                await asyncio.sleep(0.4)

        await asyncio.gather(*(turn(i, "first", lambda *_: None) for i in range(STREAMS)))
        record.line("each session has had a turn at 1.4.0")
        if "cut" in PARTS:
            fleet.links.separate(others, [cut_off])
            record.line(f"{cut_off.name} and the other hosts lose each other")
        cut_at = now()
        await asyncio.sleep(2.5)
        await new.start()
        fleet.replicas.append(new)
        fleet.store.put("servers/e-new", new.entry())
        record.line("e-new joins")
        await asyncio.sleep(1.5)
        # The next turns begin at the new version: the old replicas are full.
        for e in old:
            e.full = True
        turns = [
            asyncio.create_task(turn(i, "second", lambda n, d, i=i: events[i].append(d)))
            for i in range(STREAMS)
        ]
        await asyncio.sleep(2.4)
        for e in old:
            e.full = False
        if "crash" in PARTS:
            new.end()
            fleet.replicas.remove(new)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - now()))
        fleet.links.separate([], [])
        record.line("all hosts reach each other")
        await asyncio.gather(*turns)
        await wait_ready(fleet.hosts)
    finally:
        fleet.stop()

    mixed = [i for i, e in events.items() if len({d.split()[0] for d in e}) > 1]
    for i in mixed:
        before, after = ([d.split()[2] for d in events[i] if d.startswith(v)] for v in ("1.5", "1.4"))
        record.line(f"BROKEN stream {i}: events {before[0]} to {before[-1]} of 1.5.0, then "
                    f"{after[0]} to {after[-1]} of 1.4.0")
    begun = sum(bool(e) and e[0].startswith("1.5.0") for e in events.values())
    text = f"streams begun at the new version {begun}, of two versions {len(mixed)}"
    record.line(text)
    print(text)
    if begun < 4:
        return 2
    return 1 if len(mixed) > 2 else 0


# Parts of the disruption, for comparison: "cut", "crash" or both.
PARTS = os.environ.get("PARTS", "cut,crash").split(",") if TROUBLE else []

run(case)
