"""A stand-in of a worker: serves requests as the users' page PROTOCOL.md says, and reports itself to control."""

import argparse
import asyncio
import http.client
import json
import os
import signal
import threading
import time

STAMP_HEADER = "Sequoiahinge-Server-Stamp"


def parse_arguments():
    parser = argparse.ArgumentParser()
    for name in ("id", "name", "service", "zone", "address", "control", "record", "behaviour"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, required=True)
    return parser.parse_args()


class Worker:
    def __init__(self, arguments):
        self.arguments = arguments
        self.behaviour = json.loads(arguments.behaviour)
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        # Where workers start again under the id that they had, they tell their starts apart by this.
        self.born = {"born": int(time.time() * 1000)} if self.behaviour.get("says_born") else {}
        self.runs = {}
        self.state = "ready"
        self.is_retired = False
        self.draining_acknowledged = threading.Event()
        self.slots = asyncio.Semaphore(arguments.slots)
        self.record_file = open(arguments.record, "a", encoding="utf-8")

    def record(self, event, request_id, **more):
        entry = {"at": time.time(), "worker": self.arguments.name, "id": self.arguments.id,
                 "event": event, "request": request_id, **more}
        self.record_file.write(json.dumps(entry) + "\n")
        self.record_file.flush()

    # Reports

    def beat_forever(self):
        addresses = self.arguments.control.split(",")
        index = 0
        time.sleep(self.behaviour.get("first_beat_late_s", 0))
        while not self.is_retired:
            self.sequence += 1
            state = self.state
            body = json.dumps({
                "service": self.arguments.service, "address": self.arguments.address, "zone": self.arguments.zone,
                "version": self.behaviour.get("version", "v1"), "slots": self.arguments.slots, "state": state, "coldRemainingMs": 0,
                "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.sequence,
                **self.born,
            })
            for _ in addresses:
                try:
                    ip, port = addresses[index % len(addresses)].split(":")
                    connection = http.client.HTTPConnection(ip, int(port), timeout=1.0)
                    connection.request("PUT", f"/sequoiahinge/instances/{self.arguments.id}", body,
                                       {"Content-Type": "application/json"})
                    status = connection.getresponse().status
                    connection.close()
                    if 200 <= status < 300:
                        if state == "draining":
                            self.draining_acknowledged.set()
                        break
                except OSError:
                    pass
                index += 1
            for _ in range(12):
                if self.state != state:
                    break
                time.sleep(0.1)

    def retire(self):
        self.is_retired = True
        for address in self.arguments.control.split(","):
            try:
                ip, port = address.split(":")
                connection = http.client.HTTPConnection(ip, int(port), timeout=1.0)
                connection.request("DELETE", f"/sequoiahinge/instances/{self.arguments.id}", json.dumps(self.born))
                if connection.getresponse().status < 300:
                    return
            except OSError:
                pass

    async def leave(self, server):
        """Leaves as planned: reports `draining`, serves on for `drainMs` and a little longer, then takes no new
        connections, finishes what still runs, retires and exits."""
        self.record("draining", "")
        self.state = "draining"
        await asyncio.to_thread(self.draining_acknowledged.wait, 10)
        self.record("draining acknowledged", "")
        await asyncio.sleep(self.behaviour.get("drain_s", 2.0) + 0.5)
        server.close()
        self.record("no new connections", "")
        while self.running or self.waiting:
            await asyncio.sleep(0.05)
        # What was written last is on its way.
        await asyncio.sleep(0.5)
        await asyncio.to_thread(self.retire)
        self.record("exits", "")
        os._exit(0)

    # Requests

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        pause_s = self.behaviour.get("read_pause_s", 0)
        if length and pause_s:
            await asyncio.sleep(pause_s)
        body = await reader.readexactly(length)
        request_id = headers.get("sequoiahinge-request-id", "")
        if path == "/sequoiahinge/report":
            return await self.answer_report(writer)
        if path == "/health":
            await self.answer(writer, 200, b"", {"Sequoiahinge-Instance-Id": self.arguments.id})
            return True
        if headers.get("sequoiahinge-expect-instance", self.arguments.id) != self.arguments.id:
            await self.answer(writer, 421, b"", {"Sequoiahinge-Request-Id": request_id})
            return True
        if self.waiting >= 4 * self.arguments.slots:
            more = {"Sequoiahinge-Request-Id": request_id, "Sequoiahinge-Not-Executed": "1"}
            await self.answer(writer, 503, b"", more)
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.record("run", request_id, method=method, path=path, body_bytes=len(body))
            self.runs[request_id] = 0
            try:
                kept = await self.work(writer, path, request_id, headers)
                self.record("end", request_id)
                return kept
            except (ConnectionError, asyncio.CancelledError):
                self.record("dropped", request_id)
                raise
            finally:
                self.running -= 1
                self.runs.pop(request_id, None)

    async def answer_report(self, writer):
        report = {"stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                  "seq": 0, "queued": self.waiting, "active": self.running, "kvUsed": 100 * self.running,
                  "kvTotal": 279911, "handles": 0, "pinned": 0, "held": 0, "state": "ready", "next": 0,
                  "runs": [[run, 100, events, 1] for run, events in self.runs.items()], **self.born}
        await self.answer(writer, 200, json.dumps(report).encode(), {"Content-Type": "application/json"})
        return True

    async def answer(self, writer, status, body, more):
        reasons = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
        load = f"{self.running},{self.waiting},{self.arguments.slots}"
        fields = {"Content-Length": str(len(body)), "Sequoiahinge-Server-Load": load, **more}
        text = f"HTTP/1.1 {status} {reasons[status]}\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()

    def stamp(self, request_id):
        return {"Sequoiahinge-Request-Id": request_id, STAMP_HEADER: f"{self.arguments.id}.{request_id}"}

    async def work(self, writer, path, request_id, headers):
        if "/stream/" in path or "/unframed/" in path:
            return await self.stream(writer, path, request_id, int(headers.get("last-event-id", "0")))
        await asyncio.sleep(self.behaviour.get("work_s", 0.015))
        await self.answer(writer, 200, b"x" * 800, self.stamp(request_id))
        return True

    async def stream(self, writer, path, request_id, after):
        """Sends the events that follow one, at a steady pace.

        An unframed answer has neither a length nor chunks and ends with its connection.
        """
        is_framed = "/stream/" in path
        fields = {"Content-Type": "text/event-stream", **self.stamp(request_id)}
        fields["Transfer-Encoding" if is_framed else "Connection"] = "chunked" if is_framed else "close"
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(text.encode() + b"\r\n")
        events = self.behaviour.get("events", 70)
        for number in range(after + 1, events + 1):
            last = " last" if number == events else ""
            event = f"id: {number}\ndata: piece {number} of {events} by {self.behaviour.get('version', 'v1')}{last}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event)
            await writer.drain()
            if writer.is_closing():
                raise ConnectionResetError
            self.runs[request_id] = number
            await asyncio.sleep(self.behaviour.get("pace_s", 0.04))
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return is_framed


async def main():
    worker = Worker(parse_arguments())
    ip, port = worker.arguments.address.split(":")
    server = await asyncio.start_server(worker.serve, ip, int(port), limit=1 << 20, backlog=512)
    threading.Thread(target=worker.beat_forever, daemon=True).start()
    loop = asyncio.get_running_loop()
    # The platform's notice that the worker is to leave.
    loop.add_signal_handler(signal.SIGUSR1, lambda: loop.create_task(worker.leave(server)))
    await asyncio.Event().wait()


asyncio.run(main())
