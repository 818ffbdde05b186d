"""Gateways are stopped and started in turn. Do the streams that the first one cut off go on elsewhere?"""

import asyncio
import hashlib
import os
import re
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

import fleet as fleets
from fleet import CannotRun, HOST, client_headers, has_trouble, new_id, request, run

EVENTS = 70
PACE_S = 0.19
STREAMS = 30
GAP_S = 1.3
GRACE_S = 8.0
# A process that exits is restarted after a short delay.
RESTART_S = 0.5
# Time from the start of the streams to the first SIGTERM, and to the moment at which a client breaks off with TROUBLE=0.
BEFORE_S, BREAK_S = 1.0, 8.9

ROUTE = {
    "name": "push-text", "host": HOST, "pathPrefix": "/push/", "kind": "streaming", "timeoutMs": 15000,
    "targetLatencyMs": 800, "priority": 1, "service": "forecast-llm", "maxAttempts": 2, "public": False,
    "sticky": True, "resumable": True, "targetGapMs": 200,
}
SERVICE = {
    "name": "forecast-llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
    "engine": {"slots": 64, "kvCapacity": 279911, "kvTokenBytes": 163840, "linkMbps": 260000.0, "moves": True,
               "backups": True, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
               "models": [{"name": "m"}]},
}


def position(address):
    return hashlib.sha256(address.encode()).digest()[:8]


def successor(fleet, index, others):
    """Returns the gateway that keeps the copies of another one, of some: the next one on the ring of hashed addresses."""
    own = position(fleet.ready(index))
    order = sorted(others, key=lambda other: position(fleet.ready(other)))
    after = [other for other in order if position(fleet.ready(other)) > own]
    return (after + order)[0]


def holders(fleet, index):
    zone = fleet.edges[index]["zone"]
    near = [other for other in range(len(fleet.edges)) if other != index and fleet.edges[other]["zone"] == zone]
    far = [other for other in range(len(fleet.edges)) if fleet.edges[other]["zone"] != zone]
    return successor(fleet, index, near), successor(fleet, index, far)


def first_to_stop(fleet):
    """Returns a gateway without control on its machine whose two copies lie at such gateways as well."""
    plain = [index for index, edge in enumerate(fleet.edges) if not edge["is_core"]]
    for index in plain:
        if set(holders(fleet, index)) <= set(plain):
            return index
    return None


async def attempt(fleet, index, number, within_s, **more):
    request_id = new_id()
    headers = client_headers(
        request_id, int(within_s * 1000), **{
            "Sequoiahinge-Model": "m", "Sequoiahinge-Token-Usage": f"715,{EVENTS * 4}",
            "Sequoiahinge-Prompt-Prefix": f"{number % 3 + 16:x}:172,{number + 4096:x}:543", **more,
        })
    break_s = BREAK_S if not (has_trouble() or more) else within_s
    answer = await request(fleet.front(index), "POST", "/push/stream/", headers, b"{}", break_s)
    ids = [int(text) for text in re.findall(rb"^id: (\d+)$", answer.body, re.M)]
    fleet.note(f"client: {request_id} at gateway {index + 1} {more or ''} status {answer.status}, "
               f"events {ids[0] if ids else 0} to {ids[-1] if ids else 0}, "
               f"{'complete' if answer.is_complete else 'broken off'}, {answer.body[:80]!r}")
    return request_id, answer, ids


async def stream(fleet, index, again, number, counts):
    began = asyncio.get_running_loop().time()
    request_id, answer, ids = await attempt(fleet, index, number, 15.0)
    if answer.is_complete and ids and ids[-1] == EVENTS:
        counts["whole"] += 1
        return
    if answer.status != 200 or not ids:
        counts["not begun"] += 1
        return
    left_s = 15.0 - (asyncio.get_running_loop().time() - began)
    counts["taken up"] += 1
    more = {"Last-Event-Id": str(ids[-1]), "Resumes": request_id}
    _, answer, next_ids = await attempt(fleet, again, number, left_s, **more)
    if next_ids and next_ids[0] == ids[-1] + 1:
        counts["gone on"] += 1
    elif answer.status == 503:
        counts["refused"] += 1


async def new_streams(fleet, index, counts):
    """Begins streams beside those that are taken up, and counts how many begin."""
    for number in range(12):
        counts["new"] += 1
        _, answer, ids = await attempt(fleet, index, number, 1.5, **{"Sequoiahinge-Length-Hint": "280"})
        counts["new begun"] += bool(ids)


async def restart(fleet, index):
    name = f"gateway-{fleet.edges[index]['node']}"
    fleet.signal(name, signal.SIGTERM)
    process = fleet.gateway(index)
    loop = asyncio.get_running_loop()
    ends = loop.time() + GRACE_S
    while process.poll() is None:
        if loop.time() > ends:
            fleet.signal(name, signal.SIGKILL)
            process.wait()
        await asyncio.sleep(0.02)
    fleet.note(f"platform: {name} has ended with {process.returncode}")
    await asyncio.sleep(RESTART_S)
    fleet.start_gateway(fleet.edges[index])
    fleet.note(f"platform: {name} starts again")


async def case(fleet):
    for _ in range(1000):
        first = first_to_stop(fleet)
        if first is not None:
            break
        # Other addresses, as on another day.
        fleet.use_net(fleets.free_net())
    else:
        raise CannotRun("no addresses fit")
    in_turn = [first, *holders(fleet, first)]
    fleet.note(f"gateway {first + 1} keeps copies at {[index + 1 for index in holders(fleet, first)]}; "
               f"stopped in turn: {[index + 1 for index in in_turn]}")
    fleet.start_edges()
    for zone in ("hall-a", "hall-b", "hall-c"):
        fleet.add_worker("forecast-llm", zone, 64, with_admission=True, events=EVENTS, pace_s=PACE_S)
    await asyncio.sleep(1.5)
    await fleet.put_configuration(fleet.configuration(3, [ROUTE], [SERVICE]))
    await fleet.wait_until_ready(3)
    # Each gateway asks one control instance after the other for its peers, one a second at first.
    await asyncio.sleep(12.0)
    counts = dict.fromkeys(("whole", "not begun", "taken up", "gone on", "refused", "new", "new begun"), 0)
    again = next(index for index, edge in enumerate(fleet.edges) if edge["is_core"] and edge["zone"] == fleet.edges[first]["zone"])
    tasks = [asyncio.create_task(stream(fleet, first, again, number, counts)) for number in range(STREAMS)]
    await asyncio.sleep(BEFORE_S)
    restarts = []
    if has_trouble():
        for index in in_turn:
            restarts.append(asyncio.create_task(restart(fleet, index)))
            await asyncio.sleep(GAP_S)
    # New streams begin while the others are taken up.
    await asyncio.sleep(7.0 - len(restarts) * GAP_S)
    tasks.append(asyncio.create_task(new_streams(fleet, again, counts)))
    await asyncio.gather(*tasks, *restarts)
    for entry in fleet.runs():
        fleet.note(f"worker: {entry}")
    fleet.note(f"outcomes: {counts}")
    if counts["taken up"] < 12 or not counts["new begun"]:
        raise CannotRun(f"too few streams were taken up: {counts}")
    share, new_share = counts["gone on"] / counts["taken up"], counts["new begun"] / counts["new"]
    is_broken = share < new_share / 2
    print(f"LOST {'broken' if is_broken else 'kept'}: {counts}")
    return is_broken


run(FOLDER, case)
