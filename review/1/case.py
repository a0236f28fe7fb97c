"""A bare 200 of a faulty engine reaches callers as the success of an order."""

import itertools
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import scene  # noqa: E402

from briarfall.standins.prepared import services  # noqa: E402
from briarfall.standins.prepared import store  # noqa: E402

ZONES = ("suva", "nausori")
MACHINES_PER_ZONE = 7
LENGTH_S = 60.0
# Times at which the engine begins to garble answers.
GARBLED_AT_S = (4.0, 13.0, 22.0, 31.0, 40.0, 49.0)
GARBLED_FOR_S = 5.5
# One answer of 50 is garbled, at one engine of three.
GARBLED_EVERY = 50
# Bytes that are no answer in the protocol: neither the id of a request nor the
# signature of an engine.
GARBLED = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nOK\n"
WORK_S = 0.045
PERIOD_S = 1.0
CALLERS = {"order": 2, "view": 1}

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "book-lining",
            "host": scene.HOST,
            "path_prefix": "/orders/",
            "kind": "mutating",
            "timeout_ms": 1500,
            "slo_ms": 200,
            "priority": 2,
            "service": "works-desk",
            "attempts": 1,
        },
        {
            "name": "pipe-history",
            "host": scene.HOST,
            "path_prefix": "/views/",
            "kind": "idempotent",
            "timeout_ms": 1500,
            "slo_ms": 200,
            "priority": 2,
            "service": "works-desk",
            "attempts": 2,
        },
    ],
    "services": [{"name": "works-desk", "max_conns": 244}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "crew", "api_keys": ["crew-key"]}],
}


class Desk(services.ServiceStandin):
    """An engine that garbles some of its answers while it is faulty."""

    def __init__(self, platform: store.StoreStandin, name: str, zone: str):
        self.is_faulty = False
        self.garbled: list[str] = []
        self._count = 0
        super().__init__(platform, name, "works-desk", zone)
        self.processing_s = WORK_S

    def handle(self, conn, req) -> bool:
        """Handles a request; returns whether the connection stays open."""
        with self.lock:
            self._count += 1
            is_garbled = self.is_faulty and self._count % GARBLED_EVERY == 0
        if not is_garbled:
            return super().handle(conn, req)
        self.garbled.append(req.headers.get("x-request-id", ""))
        conn.send(GARBLED)
        return False


def run_caller(
    gateway: scene.Gateway,
    kind: str,
    number: int,
    unsigned: list[str],
    record: scene.Record,
) -> None:
    """Sends requests at a steady pace until the end."""
    caller = scene.Caller(gateway.front, "crew-key")
    next_s = record.now_s + PERIOD_S * number / 3
    for round_number in itertools.count():
        time.sleep(max(0.0, next_s - record.now_s))
        next_s += PERIOD_S
        sent_s = record.now_s
        if sent_s > LENGTH_S:
            break
        request_id = f"{kind}-{gateway.name}-{number}-{round_number}"
        method, path, body = "GET", f"/views/{request_id}", b""
        if kind == "order":
            method, path, body = "POST", "/orders/x", request_id.encode()
        status, data = caller.call(method, path, request_id, body)
        signature = caller.headers.get("x-response-signature")
        record.write(
            f"{request_id} sent={sent_s:.3f} status={status} "
            f"signature={signature} body={data[:40]!r}"
        )
        if 200 <= status < 300 and signature is None:
            unsigned.append(request_id)
    caller.close()


def main() -> int:
    """Runs the case; returns its exit code."""
    record = scene.Record(FOLDER)
    folder = scene.new_folder()
    standin = store.StoreStandin()
    standin.put("keyed.op", "config", MANIFEST)
    desks = [
        Desk(standin, f"i-desk{number}", ZONES[number % 2])
        for number in range(3)
    ]
    gateways = []
    try:
        for zone, number in itertools.product(
            ZONES, range(1, MACHINES_PER_ZONE + 1)
        ):
            gateway = scene.Gateway(
                f"edge-{zone}-{number}",
                zone,
                standin.address,
                pathlib.Path(folder.name),
            )
            gateway.start()
            gateways.append(gateway)
        for gateway in gateways:
            scene.wait_until(gateway.is_ready, f"{gateway.name} is ready")
        time.sleep(2.0)
        return play(gateways, desks, record)
    finally:
        for gateway in gateways:
            gateway.kill()
        for desk in desks:
            desk.close()
        standin.close()
        record.close()
        folder.cleanup()


def play(
    gateways: list[scene.Gateway], desks: list[Desk], record: scene.Record
) -> int:
    """Plays the traffic and the garbled answers; returns the exit code."""
    record.restart()
    unsigned: list[str] = []
    threads = []
    for gateway in gateways:
        for kind, count in CALLERS.items():
            for number in range(count):
                thread = threading.Thread(
                    target=run_caller,
                    args=(gateway, kind, number, unsigned, record),
                )
                thread.start()
                threads.append(thread)
    if scene.has_trouble():
        for start_s in GARBLED_AT_S:
            time.sleep(start_s - record.now_s)
            desks[0].is_faulty = True
            time.sleep(GARBLED_FOR_S)
            desks[0].is_faulty = False
    for thread in threads:
        thread.join()
    return judge(desks, unsigned, record)


def judge(desks: list[Desk], unsigned: list[str], record: scene.Record) -> int:
    """Applies the rule; returns the exit code."""
    ran = set()
    garbled = []
    for desk in desks:
        ran.update(desk.ran_ids())
        record.write(f"{desk.id} ran {' '.join(desk.ran_ids())}")
        garbled += desk.garbled
    for request_id in garbled:
        record.write(f"garbled answer to {request_id}")
    lost = [row for row in unsigned if row not in ran]
    record.say(f"garbled answers: {len(garbled)}")
    record.say(f"successes without a signature at callers: {len(unsigned)}")
    record.say(f"of these never run by any engine: {len(lost)}")
    record.say("rule MIXED: " + ("broken" if unsigned else "held"))
    return scene.BROKEN if unsigned else scene.HELD


if __name__ == "__main__":
    scene.run(main)
