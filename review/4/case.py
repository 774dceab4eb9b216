"""CONFIG: the operator's items in the store fill more than 16 pages; then a configuration comes."""

import asyncio
import os
import time

import lab

# A page of the store holds 500 items. With the configuration, 7,900 versions fill 16 pages, 8,100
# versions fill 17.
VERSIONS = 8100 if lab.TROUBLE else 7900
HOSTS = 3
APPLY_S = 2.0  # ConfigApplyMs
KEY = [("Authorization", "Bearer key-one")]


async def case(record, temp, cleanups):
    store = lab.Store(page=500)
    await store.listen()
    services = [{"Name": n, "HealthPath": "/health", "MaxConns": 110} for n in ("orders-old", "orders-new")]
    services.append({"Name": "deck-models", "HealthPath": "/health", "MaxConns": 370,
                     "Engine": lab.engine(adapters=24000)})
    tenants = [{"Name": "one", "ApiKeys": ["key-one"]}]

    def configure(version, service):
        routes = [lab.route("check", "safe", service, public=True), lab.route("order", "unsafe", service),
                  lab.route("note", "streaming", "deck-models", 15000)]
        store.put("op/config", lab.config(version, routes, services, tenants))

    configure(1, "orders-old")
    replicas = [lab.Replica(record, store, f"i-{s}-{n}", f"orders-{s}") for s in ("old", "new") for n in (1, 2)]
    for r in replicas:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS + 1, temp)
    cleanups.append(fleet.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    sent = []

    async def ask(phase):
        """Each host gets one public request and one with a key."""
        for i in range(HOSTS):
            for name, method, headers in (("check", "GET", []), ("order", "POST", KEY)):
                ident = f"{phase}-{name}-{len(sent)}"
                at = time.monotonic()
                a = await lab.send(fleet.front(i), method, f"/{name}/1", ident, headers, deadline_ms=1500)
                record(f"{ident} at {fleet.ips[i]}: {a} {a.body[:60]!r}")
                sent.append((ident, at, a))

    for _ in range(3):
        await ask("before")
        await asyncio.sleep(0.3)
    record(f"the operator writes versions of {VERSIONS} adapters")
    for n in range(VERSIONS):
        store.put(f"op/version/m0.a{n}", {"Model": "m0", "Adapter": f"a{n}", "Version": 2})
        if n % 500 == 0:
            await asyncio.sleep(0.05)
    await asyncio.sleep(4)
    configure(2, "orders-new")
    ack = time.monotonic()
    record("version 2 is acknowledged: /check/ and /order/ go to orders-new")
    while time.monotonic() < ack + 12:
        await ask("after")
        await asyncio.sleep(0.5)
    runs = {ident: r.service for r in replicas for ident, *_ in r.runs}
    late = [(i, a) for i, at, a in sent if at > ack + APPLY_S]
    old = [i for i, _ in late if runs.get(i) == "orders-old"]
    refused = [i for i, a in late if a.status == 503]
    record(f"sent later than {APPLY_S} s after the ack: {len(late)}; run by orders-old: {len(old)}; "
           f"run by orders-new: {sum(runs.get(i) == 'orders-new' for i, _ in late)}; 503: {len(refused)}")
    # Only for the record: a machine that is added now.
    fleet.start(HOSTS)
    await asyncio.sleep(8)
    ready = [await lab.get(ip, fleet.ports + 17, "/ready") for ip in fleet.ips]
    record(f"/ready of the machines, the last of which was added 8 s ago: {ready}")
    return bool(old)


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
