"""A configuration with a priority above 255 is not applied, and the key that it takes away goes on
working for good."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from platform2 import BOUNDS, TROUBLE, Failed, Fleet, config, fetch, now, run  # noqa: E402

PRIORITY = int(os.environ.get("PRIORITY", "1000" if TROUBLE else "3"))
WATCH_S = 12.0


async def case():
    fleet = Fleet(os.environ.get("OUT", HERE), hosts=5, replicas=4)
    record = fleet.record
    sent, answers, tasks = {}, {}, []
    try:
        await fleet.start(config(11, {"kept": ["key-kept"], "gone": ["key-gone"]}))

        async def client(host, key):
            n = 0
            while True:
                n += 1
                request = f"{host.name}-{key}-{n}"
                headers = [
                    ("Yuccawing-Request-Id", request), ("Authorization", f"Bearer {key}"),
                    ("Yuccawing-Deadline-Ms", 1000),
                ]
                sent[request] = now()
                try:
                    status, _, _ = await fetch(host.front, "POST", "/commit/1", headers, b"{}", 2.0)
                except Failed as e:
                    status = e
                answers[request] = status
                record.line(f"sent {request} at {record.at(sent[request])}, answer {status}")
                await asyncio.sleep(0.2)

        for h in fleet.hosts:
            tasks.append(asyncio.create_task(client(h, "key-gone")))
        tasks.append(asyncio.create_task(client(fleet.hosts[-1], "key-kept")))
        await asyncio.sleep(4.0)
        newer = config(12, {"kept": ["key-kept"], "gone": []})
        newer["Routes"].append(
            newer["Routes"][0] | {"Name": "batch", "Prefix": "/batch/", "Priority": PRIORITY}
        )
        acked = fleet.store.put("op/config", newer)
        record.line(f"acknowledged version 12, which takes key-gone away and "
                    f"adds a route of priority {PRIORITY}")
        await asyncio.sleep(WATCH_S)
        ready = [await h.is_ready() for h in fleet.hosts]
        record.line(f"ready: {ready}")
    finally:
        for t in tasks:
            t.cancel()
        fleet.stop()

    limit = BOUNDS["RevokeMs"] / 1000
    runs = [(request, sent[request] - acked) for r in fleet.replicas for request, account, _ in r.runs
            if account == "gone"]
    late = [(request, d) for request, d in runs if d > limit]
    kept = sum(account == "kept" for r in fleet.replicas for _, account, _ in r.runs)
    record.line(f"runs for key-kept {kept}; runs for key-gone {len(runs)}, of these later than "
                f"{limit} s after the acknowledgement {len(late)}")
    for request, d in late:
        record.line(f"BROKEN {request} was sent {d:.3f} s after the acknowledgement and ran")
    print(f"late runs: {len(late)}, last sent {max((d for _, d in runs), default=0):.3f} s after")
    if kept < 20 or not runs:
        return 2
    return 1 if late else 0


run(case)
