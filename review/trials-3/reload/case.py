"""The time after which a withdrawn key must not work is shortened in the settings, with a SIGHUP."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "lib-3"))
from lab3 import TROUBLE, Broken, CannotRun, Replica, main  # noqa: E402

OLD_MS, NEW_MS = 10000, 5000  # RevokeMs
TURNED_AWAY_S = 9.0  # platform_down, how nodes busy revoke
KEPT, TAKEN = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb"


async def case(lab):
    replicas = [Replica(lab.rec, lab.store, f"i-{n}", "wuno96b", lab.address(30 + n)) for n in range(3)]
    for r in replicas:
        await r.start()

    def config(keys):
        return lab.config(
            [{"Name": "r-6", "Host": "ficu95.example", "Prefix": "/cufi504/", "Kind": "safe",
              "TimeoutMs": 1500, "SloMs": 100, "Priority": 2, "Service": "wuno96b",
              "MaxAttempts": 1, "Public": False}],
            [{"Name": "wuno96b", "HealthPath": "/health", "MaxConns": 110}],
            [{"Name": "hule930", "ApiKeys": keys, "Priority": 1, "Unit": "tokens",
              "PlainTokens": 200, "RatePerS": 128999, "Burst": 128999}])

    lab.put_config(config([KEPT, TAKEN]))
    # Without the disruption the hosts start with the settings that are in force at the end.
    lab.bounds["revoke_ms"] = OLD_MS if TROUBLE else NEW_MS
    await lab.start_hosts()
    await asyncio.sleep(4)
    if TROUBLE:
        lab.bounds["revoke_ms"] = NEW_MS
        for h in lab.hosts:
            h.write_settings()
            h.kill(signal.SIGHUP)
        lab.rec("RevokeMs is", NEW_MS, "from now on")
        await asyncio.sleep(3)
        for h in lab.hosts:
            with open(h.log) as f:
                if '"name":"Reloaded"' not in f.read():
                    raise CannotRun(f"{h.name} has not reloaded its settings")
    cut = lab.hosts[-1]
    lab.store.refuse(cut)
    cut_at = time.monotonic()
    await asyncio.sleep(0.3)
    lab.put_config(config([KEPT]))
    ack = time.monotonic()
    lab.rec("key taken away, acknowledged")
    sent, tasks = {}, []

    async def ask(rid, key):
        sent[rid] = time.monotonic()
        return await lab.ask(cut, "GET", "/cufi504/fi50/2f", rid, key, 1500)

    n = 0
    while time.monotonic() < cut_at + TURNED_AWAY_S - 0.2:
        n += 1
        tasks.append(asyncio.create_task(ask(f"taken-{n}", TAKEN)))
        await asyncio.sleep(0.1)
    lab.store.refused.clear()
    lab.rec("the store serves all hosts again")
    await asyncio.sleep(2)
    kept = await ask("kept", KEPT)
    if kept.status != 200:
        raise CannotRun("the host does not serve the key that was kept: " + kept.text())
    await asyncio.gather(*tasks)
    ran = {rid for r in replicas for _, rid in r.runs}
    late = [sent[rid] - ack for rid in ran if rid.startswith("taken") and sent[rid] > ack + NEW_MS / 1000]
    lab.rec(len(late), "requests ran with the key, sent later than RevokeMs after the ack")
    if late:
        raise Broken(f"CONFIG (FailClosed): {len(late)} requests ran, sent {min(late):.2f} to {max(late):.2f} s after the ack that took their key away")


main(HERE, 4, case)
