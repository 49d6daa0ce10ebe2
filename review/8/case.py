"""A planned stop of a node whose engines answer streams without a length, as whole answers that end with their channel.

Checked is what the clients see: streams that an engine has brought to their end, and whose channel ends without a complete
answer.
"""
import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig  # noqa: E402

GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0
STREAMS_A_SECOND = 4
EVENTS, EVENT_SECONDS = 15, 0.1
KEY = "key-of-maule"
PLAN = {
    "version": 3,
    "routes": [{"name": "notice", "hostname": "portal.example", "path-prefix": "/notice/", "type": "streaming",
                "stream-resume": True, "timeout-ms": 15000, "target-latency-ms": 2000, "itl-target-ms": 400, "priority": 0,
                "service": "model", "max-attempts": 2}],
    "services": [{"name": "model", "max-connections": 360}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "maule", "api-keys": [KEY]}],
}


class Model(rig.Engine):
    """A model engine whose streams have no length; none breaks off."""

    def __init__(self, record, name, ended):
        super().__init__(record, "model", name, slots=64)
        self.ended = ended

    def report(self):
        return {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}], "utilization": False, "sequence": 1,
                "queued": 0, "active": 1, "kv-used": 0, "kv-total": 621758, "handlers": 0}

    async def run(self, request, reader, writer, carried):
        name = request.header("Roadferry-Attempt-Id")
        last = int(request.header("Last-Event-Id") or 0)
        self.record.line(f"{self.id} runs {name} after event {last}")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Roadferry-Response-Signature: mac-{name}",
                "Connection: close"] + [f"{field}: {value}" for field, value in carried]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(last + 1, EVENTS + 1):
            writer.write(f"id: {number}\ndata: {name}.{number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        self.ended.setdefault(name, time.monotonic())
        self.record.line(f"{self.id} has ended {name}")
        return False


async def client(record, daemon, number, results):
    name = f"stream-{number}"
    headers = {"Host": "portal.example", "Roadferry-Attempt-Id": name, "Roadferry-Deadline-Ms": "15000",
               "Authorization": f"Token {KEY}", "Roadferry-Model": "m", "Roadferry-Token-Usage": "628,75",
               "Roadferry-Prompt-Prefix": f"5c1e07a2:119,{number:08x}:509"}
    sent = time.monotonic()
    record.line(f"client sends {name}")
    try:
        answer = await rig.call(daemon.http, "POST", "/notice/2f", headers, b"x" * 800, 20)
    except OSError:
        return  # The node takes no new channels any more.
    events = answer.body.count(b"data: ")
    record.line(f"client gets {answer.status} for {name}, {events} events, whole: {answer.whole}")
    results.append((name, sent, time.monotonic(), answer.status, answer.whole))


async def case(record, folder, to_end):
    store = await rig.Store().listen()
    store.put("keyed.op", "config", PLAN)
    ended, results = {}, []
    for index in range(6):
        store.list_engine(await Model(record, f"i-model-{index}", ended).listen(), born=None)
    daemon = rig.Daemon(record, folder, store.address).start()
    to_end.append(daemon)
    await daemon.await_ready()
    await asyncio.sleep(CONTACT_SECONDS)
    tasks = []

    async def traffic(seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(client(record, daemon, len(tasks), results)))
            await asyncio.sleep(1 / STREAMS_A_SECOND)

    await traffic(4)
    stopped = None
    if rig.has_trouble():
        stopped = time.monotonic()
        daemon.signal(signal.SIGTERM)
    await traffic(1.5)  # The balancer has missed two readiness calls by then.
    await asyncio.gather(*tasks)
    cut = [(name, sent, end) for name, sent, end, status, whole in results if status == 200 and not whole and name in ended]
    lost = [] if stopped is None else [name for name, sent, end in cut if stopped < end <= stopped + GRACE_SECONDS + 1]
    record.line(f"{len(results)} streams; cut although an engine had brought them to their end: {len(cut)}, "
                f"{len(lost)} of them between SIGTERM and 1 s after grace-s")
    return len(lost) > 0


if __name__ == "__main__":
    rig.run_case(FOLDER, case)
