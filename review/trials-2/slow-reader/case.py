"""A host that is stopped cuts complete answers that a slow caller is still reading."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib-2"))

from platform2 import BOUNDS, HOST, TROUBLE, Fleet, config, now, run  # noqa: E402

SIZE = 14_000_000
# Bytes a second that the caller reads, and the size of its receive buffer.
RATE = 2_000_000
WINDOW = 65_536
CALLERS = 2


async def download(record, host, name):
    """Sends one request on a channel that has served another one before, and reads its answer
    slowly. Returns how many bytes of the body arrived, and when the last one did."""
    loop = asyncio.get_running_loop()
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
    s.setblocking(False)
    await loop.sock_connect(s, host.front)
    text = (
        f"GET /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\nYuccawing-Request-Id: {name}\r\n"
        "Authorization: Bearer key-kept\r\nYuccawing-Deadline-Ms: 15000\r\n\r\n"
    )
    sent = now()
    await loop.sock_sendall(s, text.encode())
    record.line(f"sent {name}")
    data, body, length = b"", 0, None
    try:
        while length is None or body < length:
            part = await loop.sock_recv(s, 16_384)
            if not part:
                break
            if length is None:
                data += part
                if b"\r\n\r\n" not in data:
                    continue
                head, _, part = data.partition(b"\r\n\r\n")
                lines = head.decode().lower().split("\r\n")
                length = int(next(x.split(":")[1] for x in lines if x.startswith("content-length")))
                record.line(f"{name}: {lines[0]}, {length} bytes follow")
            body += len(part)
            await asyncio.sleep(max(0.0, sent + body / RATE - now()))
    except ConnectionError as e:
        record.line(f"{name}: {e!r}")
    s.close()
    record.line(f"{name}: {body} of {length} bytes arrived in {now() - sent:.3f} s")
    return body, now() - sent


async def case():
    fleet = Fleet(os.environ.get("OUT", HERE), hosts=5, replicas=4, size=SIZE)
    record = fleet.record
    try:
        await fleet.start(config(11, {"kept": ["key-kept"]}, timeout_ms=15000, slo_ms=1000))
        await asyncio.sleep(4.0)
        host = fleet.hosts[0]
        calls = [
            asyncio.create_task(download(record, host, f"download-{i}")) for i in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        stopped = now()
        if TROUBLE:
            host.signal(signal.SIGTERM)
            record.line(f"SIGTERM to {host.name}")
        results = await asyncio.gather(*calls)
        if TROUBLE:
            while host.process.poll() is None and now() - stopped < BOUNDS["GraceS"]:
                await asyncio.sleep(0.05)
            record.line(f"{host.name} had ended {now() - stopped:.3f} s after SIGTERM")
    finally:
        fleet.stop()

    runs = [t for r in fleet.replicas for _, _, t in r.runs]
    cut = [b for b, _ in results if b < SIZE]
    for i, (b, t) in enumerate(results):
        if b < SIZE:
            record.line(f"BROKEN download-{i} got {b} of {SIZE} bytes, {t:.3f} s after it was sent")
    print(f"cut: {len(cut)} of {CALLERS}, {results}")
    if len(runs) < CALLERS:
        return 2
    return 1 if cut else 0


run(case)
