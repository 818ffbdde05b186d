"""Stand-ins of the platform, its operator and its clients, for the scripts of this review.

Starts the programs of `deploy/system.toml` as separate processes on loopback addresses, with the templates of the
deploy file filled in from settings like those of the deployment `golfslag-rtr`.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

ZONES = ["hall-a", "hall-b", "hall-c"]
HOST = "api.example"
KEYS = {"tenant-a": "key-a-5x9w2m", "tenant-b": "key-b-7q3k8n"}

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "maxSkewMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retryBudgetSlack": 58, "recoveryS": 12, "passMs": 120, "retryAfterS": 6.3, "quotaWindowS": 4,
}


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


# --- Templates -----------------------------------------------------------------------------------------------------

def _find(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, scopes, key=None, is_last=True):
    """Fills in a template of the deploy file, as the users' page DEPLOY.md describes it."""
    out, rest = [], template
    pattern = re.compile(r"\{\{([#^]?)([^{}]*)\}\}")
    while True:
        match = pattern.search(rest)
        if not match:
            out.append(rest)
            return "".join(out)
        out.append(rest[:match.start()])
        rest = rest[match.end():]
        kind, name = match.group(1), match.group(2).strip()
        if kind:
            end = "{{/" + name + "}}"
            inner, rest = rest.split(end, 1)
            value = _find(name, scopes)
            is_empty = value is None or value is False or value == [] or value == {}
            if kind == "^":
                out.append(render(inner, scopes, key, is_last) if is_empty else "")
            elif not is_empty:
                if isinstance(value, dict):
                    items = list(value.items())
                elif isinstance(value, list):
                    items = list(enumerate(value))
                else:
                    items = [(None, value)]
                for index, (item_key, item) in enumerate(items):
                    out.append(render(inner, scopes + [item], item_key, index == len(items) - 1))
        elif name == "@":
            out.append(_text(key))
        elif name == ",":
            out.append("" if is_last else ",")
        elif name.endswith("|json"):
            out.append(json.dumps(_find(name[:-5], scopes)))
        else:
            out.append(_text(_find(name, scopes)))


# --- HTTP for clients and the operator -----------------------------------------------------------------------------

class Answer:
    """What a client got for one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.framing = None
        self.error = None
        self.took_s = 0.0


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_body(reader, headers, answer):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        answer.framing = "chunked"
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                answer.is_complete = True
                return
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in headers:
        answer.framing = "length"
        answer.body = await reader.readexactly(int(headers["content-length"]))
        answer.is_complete = True
    else:
        answer.framing = "close"
        while True:
            data = await reader.read(65536)
            if not data:
                answer.is_complete = True
                return
            answer.body += data


async def request(address, method, path, headers=None, body=b"", timeout_s=10.0, kept=None):
    """Sends one request, and returns what came back within the time.

    `kept` is a reader and a writer of an earlier request's connection; without it, a new connection is opened, and with
    an empty list, it is left there.
    """
    answer = Answer()
    began = time.monotonic()
    writer = None

    async def exchange():
        nonlocal writer
        ip, port = address.split(":")
        if kept:
            reader, writer = kept
        else:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
        if kept == []:
            kept.extend((reader, writer))
        lines = [f"{method} {path} HTTP/1.1"]
        fields = {"Host": HOST, **(headers or {})}
        if body or method in ("POST", "PUT"):
            fields["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        while True:
            first, answer.headers = await _read_head(reader)
            answer.status = int(first.split(" ")[1])
            if answer.status >= 200:
                break
        await _read_body(reader, answer.headers, answer)

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except asyncio.IncompleteReadError as cause:
        answer.body += cause.partial
        answer.error = "the connection ended"
    except (OSError, ConnectionError) as cause:
        answer.error = f"{type(cause).__name__}: {cause}"
    except (asyncio.TimeoutError, TimeoutError):
        answer.error = "no whole answer in time"
    except (ValueError, IndexError) as cause:
        answer.error = f"not HTTP: {cause}"
    finally:
        answer.took_s = time.monotonic() - began
        if writer is not None and not (kept and answer.is_complete):
            writer.close()
    return answer


_ids = random.Random()


def new_id():
    return f"{_ids.getrandbits(64):016x}"


# --- The fleet -----------------------------------------------------------------------------------------------------

def free_net():
    """Returns a loopback prefix 127.x.y on which the ports of a fleet are free."""
    for _ in range(200):
        prefix = f"127.{_ids.randint(10, 250)}.{_ids.randint(1, 250)}"
        try:
            for host in (1, 2, 3, 4, 101):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{host}", 8783))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Fleet:
    """The processes of a small deployment: three core machines, further gateways, admissions and workers."""

    FRONT, READY, CONTROL, APP, FIRST_PORT = 8783, 8780, 8785, 8081, 7400

    def __init__(self, folder, plain_edges=4):
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.temp = tempfile.mkdtemp(prefix="review-2-")
        self.net = ""
        # The newest process of each name, and all that were started.
        self.processes = {}
        self.started = []
        # Short-lived processes of a case's clients.
        self.helpers = []
        self.logs = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        # The core machines come first: each has a disk, a gateway and control.
        self.edges = []
        for index in range(3 + plain_edges):
            self.edges.append({
                "node": f"edge-{ZONES[index % 3]}-{index // 3 + 1}",
                "zone": ZONES[index % 3],
                "is_core": index < 3,
            })
        self.workers = []
        self.use_net(free_net())

    def use_net(self, net):
        """Gives the machines addresses with this prefix."""
        self.net = net
        for index, edge in enumerate(self.edges):
            edge["ip"] = f"{net}.{index + 1}"
        self.seeds = [f"{edge['ip']}:{self.CONTROL}" for edge in self.edges[:3]]

    # Records and ends

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def close(self):
        """Ends all processes that this fleet started, by their ids."""
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.send_signal(signal.SIGCONT)
        for helper in self.helpers:
            if helper.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(helper.pid, signal.SIGKILL)
        for process in self.started:
            process.wait()
        for log in self.logs.values():
            log.close()
        if os.environ.get("KEEP"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()

    # Processes

    def _settings(self, node, role, machine_class, ip, zone, listen, **more):
        return {
            "node": node, "role": role, "machineClass": machine_class,
            "serves": [], "ip": ip, "zone": zone, "region": "nl-west",
            "zones": {name: "nl-west" for name in ZONES}, "listen": listen,
            "portRange": [self.FIRST_PORT, self.FIRST_PORT + 15], "seeds": self.seeds, "bootstrap": True,
            "inTolerance": True,
            "limits": {"cpuShare": 0.45, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 64},
            "discovery": "registration", "entry": "vip", "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS, "configMode": "highest",
            **more,
        }

    def start_role(self, name, role, settings):
        with open(os.path.join(ROOT, self.deploy["roles"][role]["template"]), encoding="utf-8") as file:
            text = render(file.read(), [settings])
        path = os.path.join(self.temp, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = self.deploy["roles"][role]["run"].split()
        words = [path if word == "/etc/sequoiahinge/local.json" else word for word in words]
        self._spawn(name, words)

    def _spawn(self, name, words):
        if name not in self.logs:
            self.logs[name] = open(os.path.join(self.temp, f"{name}.log"), "ab")
        log = self.logs[name]
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.processes[name] = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.started.append(self.processes[name])

    def log_of(self, name):
        with open(os.path.join(self.temp, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def start_edges(self):
        if not os.path.exists(os.path.join(ROOT, "target/release/sequoiahinge")):
            raise CannotRun("the program of the deploy file is not built")
        for edge in self.edges:
            if edge["is_core"]:
                self.start_control(edge)
            self.start_gateway(edge)

    def start_control(self, edge):
        folder = os.path.join(self.temp, f"data-{edge['node']}")
        os.makedirs(folder, exist_ok=True)
        listen = {"control": f"{edge['ip']}:{self.CONTROL}"}
        settings = self._settings(edge["node"], "control", "edge", edge["ip"], edge["zone"], listen, dataDir=folder)
        self.start_role(f"control-{edge['node']}", "control", settings)

    def start_gateway(self, edge):
        listen = {"front": f"{edge['ip']}:{self.FRONT}", "readyAddr": f"{edge['ip']}:{self.READY}"}
        settings = self._settings(edge["node"], "gateway", "edge", edge["ip"], edge["zone"], listen)
        self.start_role(f"gateway-{edge['node']}", "gateway", settings)

    def gateway(self, index):
        return self.processes[f"gateway-{self.edges[index]['node']}"]

    def gateway_log(self, index):
        return self.log_of(f"gateway-{self.edges[index]['node']}")

    def front(self, index):
        return f"{self.edges[index]['ip']}:{self.FRONT}"

    def ready(self, index):
        return f"{self.edges[index]['ip']}:{self.READY}"

    def add_worker(self, service, zone, slots, with_admission=False, **behaviour):
        """Starts a worker, with an admission beside it where its machine has one."""
        index = len(self.workers)
        ip = f"{self.net}.{101 + index}"
        worker = {
            "name": f"worker-{service}-{index + 1}", "service": service, "zone": zone, "slots": slots,
            "address": f"{ip}:{self.APP}", "ip": ip, "behaviour": behaviour, "starts": 0,
        }
        self.workers.append(worker)
        if with_admission:
            node = f"side-{zone}-{index + 1}"
            settings = self._settings(node, "admission", "side", ip, zone, {}, app=worker["address"])
            self.start_role(f"admission-{node}", "admission", settings)
        self.start_worker(worker)
        return worker

    def start_worker(self, worker):
        worker["starts"] += 1
        if "id" not in worker or not worker["behaviour"].get("says_born"):
            worker["id"] = f"i-{new_id()[:10]}"
        words = [
            sys.executable, os.path.join(HERE, "worker.py"), "--id", worker["id"], "--name", worker["name"],
            "--service", worker["service"], "--zone", worker["zone"], "--address", worker["address"],
            "--slots", str(worker["slots"]), "--control", ",".join(self.seeds),
            "--record", os.path.join(self.temp, f"runs-{worker['name']}.txt"),
            "--behaviour", json.dumps(worker["behaviour"]),
        ]
        self._spawn(worker["name"], words)

    def signal(self, name, number):
        self.note(f"platform: {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def crash_worker(self, worker):
        self.signal(worker["name"], signal.SIGKILL)
        self.processes[worker["name"]].wait()

    def runs(self):
        """Returns what the workers have recorded: one entry for each request that arrived, ran or ended."""
        entries = []
        for worker in self.workers:
            path = os.path.join(self.temp, f"runs-{worker['name']}.txt")
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    entries += [json.loads(line) for line in file if line.endswith("\n")]
        return sorted(entries, key=lambda entry: entry["at"])

    # The operator

    def configuration(self, version, routes, services):
        return {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "tokensPerS": 280000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1} for name, key in KEYS.items()],
        }

    async def put_configuration(self, configuration, within_s=20.0):
        ends = time.monotonic() + within_s
        body = json.dumps(configuration).encode()
        index = 0
        while time.monotonic() < ends:
            address = self.seeds[index % 3]
            index += 1
            answer = await request(address, "PUT", "/sequoiahinge/config",
                                   {"Content-Type": "application/json"}, body, 1.0)
            if answer.status == 200:
                self.note(f"operator: configuration {configuration['version']} acknowledged by {address}")
                return
            if answer.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"the configuration was refused: {answer.body!r}")
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_until_ready(self, workers, within_s=20.0):
        """Waits until each gateway says that it is ready, and knows the workers."""
        ends = time.monotonic() + within_s
        for index in range(len(self.edges)):
            while True:
                answer = await request(self.ready(index), "GET", "/sequoiahinge/ready", timeout_s=1.0)
                listed = re.findall(r"The endpoints have changed\..* ready=(\d+)", self.gateway_log(index))
                if answer.status == 200 and listed and int(listed[-1]) >= workers:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"gateway {index + 1} is not ready")
                await asyncio.sleep(0.1)


def client_headers(request_id, deadline_ms, tenant="tenant-a", **more):
    return {"Sequoiahinge-Request-Id": request_id, "Sequoiahinge-Deadline-Ms": str(deadline_ms),
            "Sequoiahinge-Credential": KEYS[tenant], **more}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, case, **options):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    fleet = Fleet(folder, **options)
    # The processes are ended also if the script is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = 1 if asyncio.run(asyncio.wait_for(case(fleet), 115)) else 0
    except CannotRun as cause:
        fleet.note(f"could not run: {cause}")
        print(f"could not run: {cause}")
    except (asyncio.TimeoutError, TimeoutError):
        fleet.note("could not run: the case took too long")
        print("could not run: the case took too long")
    except Exception:  # A fault of the script itself says nothing about the rule.
        traceback.print_exc()
    finally:
        fleet.close()
    sys.exit(code)
