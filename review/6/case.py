"""After the loss of all hosts, streams go on at a software version that did not begin them."""

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
BUDGET_S = 12.0
DOWN_S = 1.0
EVENTS = 40


def headers(request, session, left, more=()):
    return [
        ("Yuccawing-Request-Id", request), ("Authorization", "Bearer key-kept"),
        ("Yuccawing-Deadline-Ms", int(left * 1000)), ("Yuccawing-Model", "m"),
        ("Yuccawing-Token-Count", "1460,160"),
        ("Yuccawing-Prefix-Hash", f"5c1e07a2:800,91bd3f06:410,{session}:250"), *more,
    ]


async def case():
    fleet = Fleet(os.environ.get("OUT", HERE), hosts=5, replicas=1)
    record = fleet.record
    own = fleet.replicas[0].address[0]
    engines = [
        Engine(record, f"e-old-{i}", (own, fleet.own_port + 40 + i), zone, "1.4.0", EVENTS)
        for i, zone in enumerate(["akl-a"])
    ]
    newer = [
        Engine(record, f"e-new-{i}", (own, fleet.own_port + 44 + i), zone, "1.5.0", EVENTS)
        for i, zone in enumerate(["akl-b", "ham-a"])
    ]
    fleet.replicas += engines + newer
    events = {i: [] for i in range(STREAMS)}
    try:
        await fleet.start(stream_route())
        await asyncio.sleep(4.0)

        async def turn(i, name, note):
            """One request of session `i`, with the takes-up of a client that lost its channel."""
            begun, attempt, last = now(), 0, 0
            while (left := BUDGET_S - (now() - begun)) > 0.5:
                attempt += 1
                request = f"{name}-{i}-{attempt}"
                more = [("Last-Event-Id", last), ("Resumes", f"{name}-{i}-1")] if last else []

                def on_event(n, data):
                    nonlocal last
                    last = n
                    note(request, n, data)

                host = fleet.hosts[(i + attempt) % len(fleet.hosts)]
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

        # The first turn of each session runs at the new version: the old replica is full.
        for e in engines:
            e.full = True
        await asyncio.gather(*(turn(i, "first", lambda *_: None) for i in range(STREAMS)))
        # The second turn begins at the old version: the new replicas are full.
        for e in engines:
            e.full = False
        for e in newer:
            e.full = True
        record.line("second turns begin")
        turns = [
            asyncio.create_task(
                turn(i, "second", lambda r, n, d, i=i: events[i].append((r, n, d)))
            )
            for i in range(STREAMS)
        ]
        await asyncio.sleep(1.6)
        for e in engines:
            e.state = "draining"
        for e in newer:
            e.full = False
        fleet.write_entries()
        record.line("the last old replica leaves")
        await asyncio.sleep(1.5)
        if TROUBLE:
            for h in fleet.hosts:
                h.kill()
            record.line("all hosts lose power")
        # The old replica ends 2 s after it said that it leaves, once nothing runs there.
        await asyncio.sleep(0.5)
        while any(e.running for e in engines):
            await asyncio.sleep(0.05)
        for e in engines:
            e.end()
            fleet.replicas.remove(e)
            fleet.store.remove(f"servers/{e.name}")
        if TROUBLE:
            await asyncio.sleep(DOWN_S - 0.5)
            for h in fleet.hosts:
                h.start()
            record.line("all hosts start again")
        await asyncio.gather(*turns)
        await wait_ready(fleet.hosts)
    finally:
        fleet.stop()

    mixed = [i for i, e in events.items() if len({d.split()[0] for _, _, d in e}) > 1]
    for i in mixed:
        before = [n for _, n, d in events[i] if d.startswith("1.4.0")]
        after = [n for _, n, d in events[i] if d.startswith("1.5.0")]
        record.line(f"BROKEN stream {i}: events {before[0]} to {before[-1]} of 1.4.0, then "
                    f"{after[0]} to {after[-1]} of 1.5.0")
    begun = sum(any(d.startswith("1.4.0") for _, _, d in e) for e in events.values())
    record.line(f"streams that began at 1.4.0: {begun}; with events of two versions: {len(mixed)}")
    print(f"streams begun at the old version {begun}, of two versions {len(mixed)}")
    if begun < 4:
        return 2
    return 1 if len(mixed) > 2 else 0


run(case)
