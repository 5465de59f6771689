"""Stand-ins for the scripts in review/6 to review/10: a platform with a list of runners, runners,
clients and an operator around real citron-platform processes, all on loopback.

Only the standard library is used. Each case calls `run(case)`, where `case(fleet, record)` is a
coroutine that returns True if the rule was broken. The exit code is 1 if it was broken, 0 if it
held, and 2 if the case could not run.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/citron-platform")

# Whether the disruption of the case is played.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Longest time of a case; the fleet is ended in any case.
TIME_LIMIT_S = 110

METRICS_PORT = 9464
PEER_PORTS = 16
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "desk.example"


def now():
    return time.monotonic()


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.began = now()

    def __call__(self, text, at=None):
        self.out.write(f"{(at or now()) - self.began:9.3f} {text}\n")
        self.out.flush()


# HTTP/1.1 ---------------------------------------------------------------------------------------


def header(headers, name):
    for key, value in headers:
        if key == name:
            return value
    return None


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].split(b"\r\n")
    headers = []
    for line in lines[1:]:
        key, _, value = line.partition(b":")
        headers.append((key.strip().lower().decode("latin1"), value.strip().decode("latin1")))
    return lines[0].decode("latin1"), headers


async def read_chunks(reader, on_part):
    """Reads a chunked body; true once its last chunk is here."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return True
        on_part(part[:-2])


class Request:
    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.at = now()
        self.id = header(headers, "x-citronpond-request-id") or ""


class Server:
    """Serves one request after the other on each connection."""

    def __init__(self, ip, handler, port=0, admits=None):
        self.ip, self.handler, self.port, self.admits = ip, handler, port, admits
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        if self.admits and not self.admits(writer.get_extra_info("peername"), (self.ip, self.port)):
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = bytearray()
                if (header(headers, "transfer-encoding") or "").lower() == "chunked":
                    await read_chunks(reader, body.extend)
                else:
                    length = int(header(headers, "content-length") or 0)
                    body.extend(await reader.readexactly(length))
                await self.handler(Request(line, headers, bytes(body)), writer)
                if (header(headers, "connection") or "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Ends like a crashed process: nothing listens, and open connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


def belongs_to(pid, peer, own):
    """Whether the end `peer` of a loopback connection to `own` is a socket of a process."""
    SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, NETLINK_SOCK_DIAG, ANY_STATE, NO_COOKIE = 20, 1, 4, 0xFFFFFFFF, 0xFFFFFFFF
    query = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY_STATE)
    query += struct.pack(">HH", peer[1], own[1])
    query += socket.inet_aton(peer[0]) + bytes(12) + socket.inet_aton(own[0]) + bytes(12)
    query += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(struct.pack("=IHHII", 16 + len(query), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + query)
        answer = kernel.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return False
    link = f"socket:[{struct.unpack_from('=I', answer, 16 + 68)[0]}]"
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            if os.readlink(f"{folder}/{name}") == link:
                return True
        except OSError:
            pass
    return False


def reset(writer):
    connection = writer.get_extra_info("socket")
    if connection is not None:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def write_answer(writer, status, headers, body):
    head = f"HTTP/1.1 {status}\r\n" + "".join(f"{key}: {value}\r\n" for key, value in headers)
    writer.write(head.encode("latin1") + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Answer:
    def __init__(self):
        self.connected = False
        self.sent_at = None
        self.status = 0
        self.headers = []
        self.body = b""
        self.whole = False
        self.error = ""

    def header(self, name):
        return header(self.headers, name)


async def call(address, method, path, headers, body=b"", within=10.0, host=HOST, gap=None):
    """Sends a request on a connection of its own, and reads the answer.

    `gap` is the longest wait for the next piece of a stream, before its first one too.
    """
    answer = Answer()
    writer = None
    end = now() + within

    async def bounded(step):
        left = end - now()
        return await asyncio.wait_for(step, left if gap is None else min(gap, left))

    def add(part):
        answer.body += part

    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), min(1.0, within))
        answer.connected = True
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{key}: {value}" for key, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer.sent_at = now()
        writer.write("\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body)
        while answer.status < 200:
            line, answer.headers = await bounded(read_head(reader))
            answer.status = int(line.split(" ")[1])
        if (answer.header("transfer-encoding") or "").lower() == "chunked":
            while not answer.whole:
                line = await bounded(reader.readuntil(b"\r\n"))
                size = int(line.split(b";")[0], 16)
                part = await bounded(reader.readexactly(size + 2))
                answer.whole = size == 0
                add(part[:-2])
        else:
            length = int(answer.header("content-length") or 0)
            add(await bounded(reader.readexactly(length)))
            answer.whole = True
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError) as error:
        answer.error = type(error).__name__
    finally:
        if writer:
            writer.close()
    return answer


_next_id = random.getrandbits(48)


def new_id():
    global _next_id
    _next_id += 1
    return f"{_next_id:016x}"


def attempt(request_id, deadline_ms, more=()):
    """Headers of one client attempt."""
    return [
        ("X-Citronpond-Request-Id", request_id),
        ("X-Citronpond-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
        *more,
    ]


# The platform and its runners --------------------------------------------------------------------


class Platform:
    """The platform's list of runners."""

    def __init__(self, ip):
        self.entries = []
        self.silent = False
        self.server = Server(ip, self.handle)

    async def handle(self, request, writer):
        while self.silent:
            await asyncio.sleep(0.05)
        page = {"instances": self.entries, "next": None}
        write_answer(writer, "200 OK", [("Content-Type", "application/json")], json.dumps(page).encode())
        await writer.drain()


def entry(runner, service, address, zone="z1", version="v1", slots=8, state="ready"):
    """An entry of the list."""
    return {
        "id": runner,
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": state,
        "cold_left_ms": 0,
        "stage": "unified",
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }


def is_misdirected(request, runner):
    """Whether a request names another runner than this one."""
    expected = header(request.headers, "x-citronpond-expect-instance")
    return expected is not None and expected != runner


async def refuse_misdirected(request, runner, writer):
    headers = [("X-Citronpond-Request-Id", request.id), ("X-Citronpond-Instance-Id", runner)]
    write_answer(writer, "421 Misdirected Request", headers, b"")
    await writer.drain()


async def answer_whole(request, runner, writer, body):
    headers = [
        ("X-Citronpond-Request-Id", request.id),
        ("X-Citronpond-Response-Seal", f"seal.{runner}.{request.id}"),
    ]
    write_answer(writer, "200 OK", headers, body)
    await writer.drain()


# Configurations ----------------------------------------------------------------------------------


def plain_service(name):
    return {"name": name, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": False}


def model_service(name):
    engine = {
        "slots": 96,
        "kv_capacity_tokens": 221158,
        "kv_token_bytes": 262144,
        "link_mbps": 260000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "max_conns": 520, "engine": engine}


def route(name, host, prefix, service, kind, timeout_ms, target_ms, attempts=1, **more):
    return {
        "name": name,
        "host": host,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 2,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
        **more,
    }


def configuration(version, routes, services):
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}


# The fleet ---------------------------------------------------------------------------------------

BOUNDS = """[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 3000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 64
recover_s = 12
pass_ms = 120
reuse_window_s = 6
ttl_max_s = 5
"""


class Daemon:
    """One machine with a citron-platform process."""

    def __init__(self, fleet, index, name, zone, has_disk):
        self.fleet, self.name, self.zone, self.has_disk = fleet, name, zone, has_disk
        self.ip = f"127.{fleet.net}.1.{10 + index}"
        self.folder = os.path.join(fleet.folder, self.name)
        self.process = None

    def write_settings(self):
        ports, fleet = self.fleet.ports, self.fleet
        seeds = ", ".join(f'"{it.ip}:{ports["control"]}"' for it in fleet.daemons[:3])
        zones = sorted({it.zone for it in fleet.daemons})
        lines = [
            f'node = "{self.name}"',
            'role = "router"',
            'machine_class = "front"',
            'serves = ["front","control","directory"]',
            f'ip = "{self.ip}"',
            f'zone = "{self.zone}"',
            'region = "nam-central"',
            f'port_range = [{ports["peer"]},{ports["peer"] + PEER_PORTS - 1}]',
            f"seeds = [{seeds}]",
            "bootstrap = true",
            f"in_tolerance = {'true' if self.has_disk else 'false'}",
            *([f'data_dir = "{self.folder}/data"'] if self.has_disk else []),
            'discovery = "cloud"',
            'entry = "directory"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]',
            'config_mode = "highest"',
            "[zones]",
            *[f'{it} = "nam-central"' for it in zones],
            "[listen]",
            *[f'{it} = "{self.ip}:{ports[it]}"' for it in ("front", "ready", "control", "directory")],
            "[limits]",
            f"cpu_share = {0.45 if self.has_disk else 0.25}",
            "cores = 1",
            "memory_mb = 110",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            *(["disk_mb = 64"] if self.has_disk else []),
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            BOUNDS,
            "[cloud]",
            f'address = "{fleet.platform.server.address}"',
            "rate_per_s = 47.0",
            "duties = []",
            "max_lag_ms = 800",
        ]
        path = os.path.join(self.folder, "boot.toml")
        with open(path, "w") as out:
            out.write("\n".join(lines) + "\n")
        return path

    def start(self):
        os.makedirs(self.folder, exist_ok=True)
        names = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["CITRONPOND_SETTINGS"] = self.write_settings()
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def address(self, listener):
        return (self.ip, self.fleet.ports[listener])

    def log_lines(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as log:
            return log.read().splitlines()

    def leads(self):
        """Whether its replica of the control log leads, by its own log."""
        changes = [line for line in self.log_lines() if '"CP0401"' in line]
        return bool(changes) and "Leader in term" in changes[-1]


def end_with_parent():
    """Ends the process if the script dies; SIGHUP has its usual effect."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Fleet:
    """Three machines with a disk, one in each of three zones, and others without, by name and zone."""

    def __init__(self, others=()):
        self.folder = tempfile.mkdtemp(prefix="citron-review-")
        machines = [(f"front-z{number}-1", f"z{number}") for number in (1, 2, 3)]
        machines += others
        for _ in range(50):
            self.net = random.randint(16, 250)
            peer = random.randrange(12000, 28000, PEER_PORTS)
            listen = random.randrange(30000, 31900)
            names = ("front", "ready", "control", "directory")
            self.ports = {"peer": peer, **{name: listen + place for place, name in enumerate(names)}}
            self.daemons = []
            for index, (name, zone) in enumerate(machines):
                self.daemons.append(Daemon(self, index, name, zone, index < 3))
            if all(self.is_free(it.ip) for it in self.daemons):
                break
        else:
            raise NotRun("no free ports")
        self.platform = Platform(f"127.{self.net}.2.1")

    def is_free(self, ip):
        peer = range(self.ports["peer"], self.ports["peer"] + 2)
        listen = [self.ports[name] for name in ("front", "ready", "control", "directory")]
        for port in [*peer, *listen, METRICS_PORT]:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    def runner_ip(self, number):
        return f"127.{self.net}.3.{number}"

    async def start(self, config):
        """Starts all machines, sends the first configuration, and waits until all are ready."""
        await self.platform.server.start()
        for daemon in self.daemons:
            daemon.start()
        await self.put(config, within=30)
        end = now() + 30
        for daemon in self.daemons:
            while True:
                answer = await call(daemon.address("ready"), "GET", "/citronpond/ready", [], within=1.0)
                if answer.status == 200:
                    break
                if now() > end:
                    raise NotRun(f"{daemon.name} is not ready")
                await asyncio.sleep(0.05)

    async def put(self, config, within=10, daemons=None):
        """Sends a configuration until it is acknowledged; the time of the acknowledgement."""
        body = json.dumps(config).encode()
        json_type = [("Content-Type", "application/json")]
        end = now() + within
        while now() < end:
            for daemon in daemons or self.daemons:
                path = "/citronpond/config/put"
                answer = await call(daemon.address("control"), "POST", path, json_type, body, within=1.0)
                if answer.status == 200:
                    return now()
                if 400 <= answer.status < 500:
                    raise NotRun(f"configuration refused: {answer.status} {answer.body!r}")
            await asyncio.sleep(0.1)
        raise NotRun("configuration not acknowledged")

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, others=()):
    """Runs a case and exits with its code."""
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    record = Record(path)
    record(f"TROUBLE={int(TROUBLE)}")
    fleet = None
    code = 2
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise NotRun("target/release/citron-platform is missing: run the build of the deploy file")
        fleet = Fleet(others)

        async def bounded():
            return await asyncio.wait_for(case(fleet, record), TIME_LIMIT_S)

        code = 1 if asyncio.run(bounded()) else 0
    except NotRun as reason:
        record(f"not run: {reason}")
    except BaseException:
        record("not run:\n" + traceback.format_exc())
    finally:
        if fleet:
            fleet.stop()
    verdict = {0: "held", 1: "broken", 2: "not run"}[code]
    record(f"the rule: {verdict}")
    print(f"the rule: {verdict}")
    sys.exit(code)
