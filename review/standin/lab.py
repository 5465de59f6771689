"""A small deployment on loopback, for the review's scripts.

Starts `citron-platform` processes with the command of the deploy file and settings like
those of a small deployment. The platform's list, the servers, the clients and the operator
are stand-ins in this process; they speak what the users' pages say. Everything that is
sent, answered and run is written to `record.txt`.
"""

import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

FRONT, READY, CONTROL, DIRECTORY, PEER, LIST, SERVER = 8227, 8220, 8229, 8224, 7340, 8223, 8080
HOST = "ficu95.example"
BINARY = os.path.join("target", "release", "citron-platform")

# Bounds of the small sites' sheets.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "fail_closed": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 64, "recover_s": 12,
    "pass_ms": 120, "reuse_window_s": 6, "ttl_max_s": 5,
}


# A case ends within this time, whatever happens.
LONGEST_S = 110


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes lines with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class Answer:
    """What a client got: status 0 if no head came, and whether the body was whole."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, error=""):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.error = whole, error


def read_head(stream):
    """Start line and headers, or None if the connection ends first."""
    line = stream.readline()
    if not line.endswith(b"\r\n"):
        return None
    headers = {}
    while True:
        field = stream.readline()
        if not field.endswith(b"\n"):
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers.setdefault(name.strip().lower(), value.strip())


def read_chunks(stream):
    """Body of a chunked message, and whether its end came."""
    body = b""
    while True:
        size = stream.readline().split(b";")[0].strip()
        if not size:
            return body, False
        length = int(size, 16)
        if length == 0:
            stream.readline()
            return body, True
        part = stream.read(length)
        body += part
        if len(part) < length or stream.read(2) != b"\r\n":
            return body, False


def read_answer(stream):
    """One answer to its end."""
    head = read_head(stream)
    if head is None:
        return Answer(error="closed without an answer")
    line, headers = head
    status = int(line.split()[1])
    if headers.get("transfer-encoding") == "chunked":
        body, whole = read_chunks(stream)
    elif "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length)
        whole = len(body) == length
    else:
        body, whole = stream.read(), True
    return Answer(status, headers, body, whole)


def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """One call on a connection of its own."""
    lines = [f"{method} {path} HTTP/1.1"]
    headers = list(headers)
    named = {name.lower() for name, _ in headers}
    if "host" not in named:
        lines.append(f"Host: {address[0]}:{address[1]}")
    if "connection" not in named:
        lines.append("Connection: close")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    message = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    try:
        with socket.create_connection(address, timeout=min(timeout, 1.0)) as sock:
            sock.settimeout(timeout)
            sock.sendall(message)
            with sock.makefile("rb") as stream:
                return read_answer(stream)
    except (OSError, ValueError) as error:
        return Answer(error=str(error) or type(error).__name__)


class Listener:
    """Accepts connections and serves each on a thread."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(256)
        self.address = self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                while self.exchange(connection, stream):
                    pass
        except (OSError, ValueError):
            pass

    def close(self):
        self.socket.close()


def send(connection, status, headers, body):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


class Server(Listener):
    """A sound server of a plain service."""

    def __init__(self, lab, name, service, address, slots=6):
        self.lab, self.name, self.service, self.slots = lab, name, service, slots
        self.answer_bytes, self.work_s = 800, 0.03
        self.runs = []
        super().__init__(address)

    def entry(self):
        return {
            "id": self.name, "service": self.service, "zone": self.lab.zones[0],
            "address": f"{self.address[0]}:{self.address[1]}", "version": "v1",
            "slots": self.slots, "state": "ready", "cold_left_ms": 0, "born": self.lab.born,
        }

    def exchange(self, connection, stream):
        head = read_head(stream)
        if head is None:
            return False
        line, headers = head
        method, path, _ = line.split(" ", 2)
        if headers.get("transfer-encoding") == "chunked":
            body, whole = read_chunks(stream)
        else:
            length = int(headers.get("content-length", "0"))
            body = stream.read(length)
            whole = len(body) == length
        if not whole:
            return False
        load = [("X-Citronpond-Server-Load", f"1,0,{self.slots}")]
        if path == "/health":
            send(connection, "200 OK", [("X-Citronpond-Instance-Id", self.name)], b"")
            return True
        request = headers.get("x-citronpond-request-id", "")
        echo = [("X-Citronpond-Request-Id", request)] + load
        expected = headers.get("x-citronpond-expect-instance")
        if expected is not None and expected != self.name:
            self.lab.record.line(f"server {self.name} rejects {request}: expects {expected}")
            not_run = echo + [("X-Citronpond-Not-Executed", "1")]
            send(connection, "421 Misdirected Request", not_run, b"")
            return True
        run = {"id": request, "method": method, "path": path, "headers": headers, "body": body,
               "at": time.monotonic()}
        self.runs.append(run)
        self.lab.record.line(
            f"server {self.name} ({self.service}) runs {method} {path} id={request} "
            f"tenant={headers.get('x-citronpond-tenant')!r} expects={expected!r} "
            f"key={'authorization' in headers}"
        )
        time.sleep(self.work_s)
        text = self.body(request)
        seal = hashlib.sha256(request.encode() + text).hexdigest()[:16]
        run["answered_at"] = time.monotonic()
        send(connection, "200 OK", echo + [("X-Citronpond-Response-Seal", seal)], text)
        return True

    def body(self, request):
        line = f"{self.name} {request} ".encode()
        return (line * (self.answer_bytes // len(line) + 1))[: self.answer_bytes]


class List(Listener):
    """The platform's list of servers."""

    def __init__(self, lab, address):
        self.lab = lab
        super().__init__(address)

    def exchange(self, connection, stream):
        head = read_head(stream)
        if head is None:
            return False
        entries = [it.entry() for it in self.lab.servers]
        send(connection, "200 OK", [("Content-Type", "application/json")],
             self.page(json.dumps({"instances": entries, "next": None}).encode()))
        return True

    def page(self, body):
        return body


class Daemon:
    """One process of the system on a machine of its own."""

    def __init__(self, lab, number, disk):
        self.lab, self.number, self.disk = lab, number, disk
        self.ip = lab.ip(number)
        self.zone = lab.zones[(number - 1) % len(lab.zones)]
        self.name = f"front-{self.zone}-{number}"
        self.folder = os.path.join(lab.folder, self.name)
        self.data = os.path.join(self.folder, "data")
        os.makedirs(self.data if disk else self.folder)
        self.process = None
        self.front, self.control = (self.ip, FRONT), (self.ip, CONTROL)

    def start(self, bootstrap=False):
        settings = os.path.join(self.folder, "boot.toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(self.settings(bootstrap))
        out = open(os.path.join(self.folder, "out.txt"), "ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [BINARY], stdout=out, stderr=out, stdin=subprocess.DEVNULL,
            env={**kept, "CITRONPOND_SETTINGS": settings})
        out.close()
        self.lab.record.line(f"start {self.name} pid={self.process.pid}")

    def settings(self, bootstrap):
        lab = self.lab
        seeds = ", ".join(f'"{it.ip}:{CONTROL}"' for it in lab.daemons[:3])
        zones = "\n".join(f'{zone} = "r"' for zone in lab.zones)
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        data = f'data_dir = "{self.data}"\n' if self.disk else ""
        return (
            f'node = "{self.name}"\nrole = "router"\nmachine_class = "front"\n'
            f'serves = ["front","control","directory"]\nip = "{self.ip}"\nzone = "{self.zone}"\n'
            f'region = "r"\nport_range = [{PEER},{PEER + 15}]\nseeds = [{seeds}]\n'
            f"bootstrap = {json.dumps(bootstrap)}\nin_tolerance = {json.dumps(self.disk)}\n{data}"
            f'discovery = "cloud"\nentry = "directory"\nheartbeat_ms = 1200\n'
            f'contracts = ["base","drain","config","cost","retry","recover","engine","stream",'
            f'"tenants"]\nconfig_mode = "highest"\n[zones]\n{zones}\n'
            f'[listen]\nfront = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"\n'
            f'control = "{self.ip}:{CONTROL}"\ndirectory = "{self.ip}:{DIRECTORY}"\n'
            f"[limits]\ncpu_share = 0.45\ncores = 1\nmemory_mb = {lab.memory_mb}\nmax_fds = 4100\n"
            f"link_mbps = {lab.link_mbps}\ndisk_mb = 64\n"
            f"[fault_tolerance]\nmachines = {lab.machines}\nzones = {lab.lost_zones}\nregions = 0\n"
            f"[bounds]\n{bounds}\n"
            f'[cloud]\naddress = "{lab.list.address[0]}:{lab.list.address[1]}"\n'
            f"rate_per_s = 47.0\nduties = []\nmax_lag_ms = 800\n"
        )

    def signal(self, number):
        self.lab.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        """Loses the disk: the folder is empty at the next start."""
        self.lab.record.line(f"{self.name} loses its disk")
        shutil.rmtree(self.data)
        os.makedirs(self.data)

    def ready(self):
        return call((self.ip, READY), "GET", "/citronpond/ready", timeout=1.0).status == 200

    def metric(self, name):
        """A value of the metrics page; used only to choose whom to disturb."""
        text = call((self.ip, 9464), "GET", "/metrics", timeout=1.0).body.decode()
        for line in text.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None


class Lab:
    """The deployment, its stand-ins and the record."""

    def __init__(self, record, disks=3, others=0, memory_mb=110, link_mbps=1000.0, machines=1,
                 lost_zones=0, zones=("nam-central-a", "nam-central-b", "nam-central-c")):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="citronpond-review-")
        self.zones, self.memory_mb, self.link_mbps = list(zones), memory_mb, link_mbps
        self.machines, self.lost_zones = machines, lost_zones
        self.born = int(time.time() * 1000)
        self.servers = []
        self.count = 0
        for _ in range(20):
            self.net = f"127.{random.randint(20, 220)}.{random.randint(0, 254)}"
            try:
                self.list = List(self, (self.ip(250), LIST))
                break
            except OSError:
                continue
        else:
            raise CannotRun("no free address")
        self.daemons = []
        self.daemons = [Daemon(self, number, number <= disks)
                        for number in range(1, disks + others + 1)]

    def ip(self, number):
        return f"{self.net}.{number}"

    def server(self, service, make=Server, **more):
        number = 100 + len(self.servers)
        server = make(self, f"i-{number}", service, (self.ip(number), SERVER), **more)
        self.servers.append(server)
        return server

    def start(self):
        if not os.path.exists(BINARY):
            raise CannotRun("build the deploy file's command first")
        for daemon in self.daemons:
            daemon.start(bootstrap=True)
        until("every process listens", 20, lambda: all(
            call((it.ip, READY), "GET", "/citronpond/ready", timeout=1.0).status
            for it in self.daemons))
        # Later starts are not the first one of the whole system.
        for daemon in self.daemons:
            with open(os.path.join(daemon.folder, "boot.toml"), "w", encoding="utf-8") as file:
                file.write(daemon.settings(False))

    def put(self, configuration, within=10.0, first=None):
        """Sends a configuration until it is acknowledged or refused, to one daemon after
        the other; the last status."""
        body = json.dumps(configuration).encode()
        order = [it for it in self.daemons if it.process and it.process.poll() is None]
        if first is not None:
            order.sort(key=lambda it: it is not first)
        end, turn, status = time.monotonic() + within, 0, 0
        while time.monotonic() < end:
            daemon = order[turn % len(order)]
            turn += 1
            answer = call(daemon.control, "POST", "/citronpond/config/put",
                          [("Content-Type", "application/json")], body, timeout=1.0)
            status = answer.status
            self.record.line(
                f"operator put version {configuration['version']} at {daemon.name}: {status}")
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                return status
            time.sleep(0.2)
        return status

    def get(self, daemon):
        """Version that a daemon reads back, or None."""
        answer = call(daemon.control, "GET", "/citronpond/config/get", timeout=1.2)
        version = None
        if answer.status == 200 and answer.whole:
            version = json.loads(answer.body)["version"]
        self.record.line(f"operator get at {daemon.name}: {answer.status} version={version} "
                         f"{answer.error}")
        return version

    def configure(self, configuration):
        if self.put(configuration, within=30.0) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        until("every daemon is ready", 20, lambda: all(it.ready() for it in self.daemons))
        until("a request is served", 20, lambda: self.request(
            self.daemons[0], "GET", "/look/a").status == 200)

    def request(self, daemon, method, path, key="key-one", headers=(), body=b"",
                deadline_ms=1500, address=None):
        """A client's request on a connection of its own."""
        self.count += 1
        request = f"{self.count:06x}{random.getrandbits(40):010x}"
        sent = [("Host", HOST), ("X-Citronpond-Request-Id", request),
                ("X-Citronpond-Deadline-Ms", str(deadline_ms))]
        if key is not None:
            sent.append(("Authorization", f"Bearer {key}"))
        sent += list(headers)
        answer = call(address or daemon.front, method, path, sent, body,
                      timeout=deadline_ms / 1000 + 0.5)
        answer.request = request
        self.record.line(
            f"client {method} {path} id={request} key={key} at {daemon.name}: {answer.status} "
            f"{len(answer.body)} B whole={answer.whole} "
            f"seal={'x-citronpond-response-seal' in answer.headers} {answer.error}")
        return answer

    def runs(self, request):
        return [run for server in self.servers for run in server.runs if run["id"] == request]

    def leader(self):
        for daemon in self.daemons:
            if daemon.disk and daemon.metric("citron_control_leads") == 1:
                return daemon
        return None

    def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
                daemon.process.wait()
        self.list.close()
        for server in self.servers:
            server.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def until(what, seconds, holds):
    """Waits for a condition that the case needs; without it the case can't run."""
    end = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        time.sleep(0.05)


def configuration(version, tenants=None, timeout_ms=1500, services=("orders",)):
    """Routes of one service: /look/ may be repeated, /book/ may not."""
    def route(name, kind):
        return {
            "name": name, "host": HOST, "path_prefix": f"/{name}/", "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 2,
            "service": services[0], "max_attempts": 2 if kind == "safe" else 1,
            "public": False, "sticky": False, "resumable": False,
        }
    if tenants is None:
        tenants = [{"name": "hule930", "api_keys": ["key-one"], "priority": 1}]
    return {
        "version": version, "routes": [route("look", "safe"), route("book", "unsafe")],
        "services": [{"name": it, "health_path": "/health", "max_conns": 130, "protocol": "h1",
                      "tls": False} for it in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


def main(play, **deployment):
    """Plays a case; exits with 1 if the rule broke, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    lab = None

    def stop(number, _frame):
        raise CannotRun("out of time" if number == signal.SIGALRM else "ended by a signal")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(LONGEST_S)
    try:
        lab = Lab(os.path.join(folder, "record.txt"), **deployment)
        broken = play(lab, trouble)
        verdict = "broken: " + broken if broken else "held"
        code = 1 if broken else 0
    except CannotRun as error:
        verdict, code = f"could not run: {error}", 2
    finally:
        if lab is not None:
            lab.record.line(f"verdict: {verdict}")
            lab.close()
    print(verdict)
    sys.exit(code)
