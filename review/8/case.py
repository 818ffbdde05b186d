"""A gateway hands streams off to another one, which freezes. Does the first one end its callers' requests in time?"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))

from fleet import CannotRun, HOST, client_headers, has_trouble, new_id, request, run

EVENTS = 40
PACE_S = 0.05
TIMEOUT_MS = 3000
DEADLINE_MS = 4000
STREAMS = 60
# The first disruption: the machine runs five times slower.
SLOW_S, SLOW_TIMES, TURN_S = 2.0, 5, 0.06
# The second one.
FREEZE_S = 4.0
CONTACT_S = 3.0
# Gateways of one data centre without control on their machines: the one that callers reach, and another.
GATEWAY, OTHER = 3, 6

ROUTE = {
    "name": "session-advice", "host": HOST, "pathPrefix": "/advice/", "kind": "streaming", "timeoutMs": TIMEOUT_MS,
    "targetLatencyMs": 800, "priority": 1, "service": "forecast-llm", "maxAttempts": 1, "public": False,
    "sticky": True, "resumable": False, "targetGapMs": 200,
}
SERVICE = {
    "name": "forecast-llm", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": False,
    "engine": {"slots": 64, "kvCapacity": 279911, "kvTokenBytes": 163840, "linkMbps": 260000.0, "moves": True,
               "backups": True, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
               "models": [{"name": "m"}]},
}


async def stream(fleet, number):
    request_id = new_id()
    headers = client_headers(
        request_id, DEADLINE_MS, **{
            "Sequoiahinge-Model": "m", "Sequoiahinge-Token-Usage": f"260,{EVENTS * 4}",
            "Sequoiahinge-Prompt-Prefix": f"{number + 16:x}:60,{number + 4096:x}:200",
        })
    answer = await request(fleet.front(GATEWAY), "POST", "/advice/stream/", headers, b"{}", DEADLINE_MS / 1000)
    fleet.note(f"client: {request_id} status {answer.status} after {answer.took_s:.3f} s, {len(answer.body)} bytes, "
               f"{'complete' if answer.is_complete else answer.error}")
    return answer


async def freeze(fleet, index, time_s):
    name = f"gateway-{fleet.edges[index]['node']}"
    fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(time_s)
    fleet.signal(name, signal.SIGCONT)


async def slow_down(fleet, index, time_s):
    """Lets a process run for a fifth of each turn only."""
    process = fleet.gateway(index)
    fleet.note(f"platform: gateway {index + 1} runs {SLOW_TIMES} times slower")
    for _ in range(int(time_s / TURN_S)):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(TURN_S * (SLOW_TIMES - 1) / SLOW_TIMES)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(TURN_S / SLOW_TIMES)
    fleet.note(f"platform: gateway {index + 1} runs as before")


async def case(fleet):
    fleet.start_edges()
    for zone in ("hall-a", "hall-b", "hall-c"):
        fleet.add_worker("forecast-llm", zone, 64, with_admission=True, events=EVENTS, pace_s=PACE_S)
    await asyncio.sleep(1.5)
    await fleet.put_configuration(fleet.configuration(3, [ROUTE], [SERVICE]))
    await fleet.wait_until_ready(3)
    # Each gateway asks one control instance after the other for its peers, one a second at first.
    await asyncio.sleep(12.0)
    if has_trouble():
        await slow_down(fleet, GATEWAY, SLOW_S)
        # From here on the machine is in touch again.
        await asyncio.sleep(CONTACT_S + 2.0)
    streams = [asyncio.create_task(stream(fleet, number)) for number in range(STREAMS)]
    if has_trouble():
        await asyncio.sleep(0.5)
        await freeze(fleet, OTHER, FREEZE_S)
    answers = await asyncio.gather(*streams)
    for entry in fleet.runs():
        fleet.note(f"worker: {entry}")
    handed_off = fleet.gateway_log(GATEWAY).count("] Handed off.")
    refused = sum(answer.status == 503 for answer in answers)
    whole = sum(answer.is_complete and answer.status == 200 for answer in answers)
    longer = [answer for answer in answers if answer.took_s > TIMEOUT_MS / 1000]
    unanswered = [answer for answer in longer if answer.took_s > TIMEOUT_MS / 1000 + 0.5]
    text = (f"{whole} streams whole, {refused} refused, {handed_off} handed off; {len(longer)} lasted longer than timeoutMs, "
            f"{len(unanswered)} of these have no end half a second later")
    fleet.note(f"outcomes: {text}")
    if not whole:
        raise CannotRun("no stream was served")
    is_broken = len(unanswered) >= 8 and len(unanswered) > len(longer) / 4
    print(f"CONFIG {'broken' if is_broken else 'kept'}: {text}")
    return is_broken


run(FOLDER, case)
