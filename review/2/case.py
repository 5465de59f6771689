"""One answer of a model server in fifty has no end; the daemons that read them hang."""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from lab import HOST, CannotRun, Server, configuration, main, read_head

EVENTS, PAUSE_S = 40, 0.025
CHAT_DEADLINE_MS = 15000
BOOK_TIMEOUT_MS = 800
PLAY_S = 30.0
# Of a hundred answers of the model servers that spoil some, two.
SPOILT_EACH = 50


class Engine(Server):
    """A model server; a spoilt answer never comes to the end of its first event."""

    spoils = False

    def exchange(self, connection, stream):
        head = read_head(stream)
        if head is None:
            return False
        line, headers = head
        stream.read(int(headers.get("content-length", "0")))
        request = headers.get("x-citronpond-request-id", "")
        self.runs.append({"id": request, "at": time.monotonic()})
        with self.lab.lock:
            self.lab.answers += self.spoils
            spoilt = self.spoils and self.lab.answers % SPOILT_EACH == 0
        self.lab.record.line(f"server {self.name} runs {line} id={request} spoilt={spoilt}")
        connection.sendall((
            f"HTTP/1.1 200 OK\r\nX-Citronpond-Request-Id: {request}\r\n"
            "X-Citronpond-Response-Seal: seal\r\nConnection: close\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        if spoilt:
            self.lab.spoilt.append(request)
            while True:
                connection.sendall(b"1\r\nx\r\n" * 1000)
        for number in range(1, EVENTS + 1):
            time.sleep(PAUSE_S)
            event = f"id: {number}\ndata: t{number}\n\n"
            connection.sendall(f"{len(event):x}\r\n{event}\r\n".encode())
        connection.sendall(b"0\r\n\r\n")
        return False


def chat_configuration():
    text = configuration(5, timeout_ms=BOOK_TIMEOUT_MS)
    text["services"].append({
        "name": "llm", "health_path": "/health", "max_conns": 520, "protocol": "h1", "tls": False,
        "engine": {"slots": 96, "kv_capacity_tokens": 221158, "kv_token_bytes": 262144,
                   "link_mbps": 260000.0, "moves": True, "backups": True, "stride": 4, "most": 12,
                   "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                   "models": [{"name": "m"}]}})
    text["routes"].append({
        "name": "chat", "host": HOST, "path_prefix": "/chat/", "type": "stream",
        "timeout_ms": 15000, "target_latency_ms": 800, "priority": 0, "service": "llm",
        "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
        "gap_aim_ms": 150})
    return text


def play(lab, trouble):
    lab.answers, lab.spoilt, lab.lock = 0, [], threading.Lock()
    for _ in range(3):
        lab.server("orders")
    engines = [lab.server("llm", Engine, slots=96) for _ in range(4)]
    lab.start()
    lab.configure(chat_configuration())
    time.sleep(3.0)
    for engine in engines[:2]:
        engine.spoils = trouble
    end = time.monotonic() + PLAY_S
    late, unanswered, lock = [], [], threading.Lock()

    def book(daemon):
        """Bookings that are unanswered at the route's timeout, and half a second later."""
        while time.monotonic() < end:
            began = time.monotonic()
            answer = lab.request(daemon, "POST", "/book/b", body=b"one order", deadline_ms=1500)
            took = time.monotonic() - began
            with lock:
                if took > BOOK_TIMEOUT_MS / 1000:
                    late.append(daemon.name)
                if took > BOOK_TIMEOUT_MS / 1000 + 0.5:
                    unanswered.append(daemon.name)
            time.sleep(0.2)

    def chat(daemon, number):
        headers = [("X-Citronpond-Model", "m"), ("X-Citronpond-Token-Counts", "700,280"),
                   ("X-Citronpond-Prefix-Hash", f"5c1e:100,{number % 24:x}ab:70,{number:x}ff:530")]
        lab.request(daemon, "POST", f"/chat/{number}", headers=headers, body=b"p" * 1400,
                    deadline_ms=CHAT_DEADLINE_MS)

    threads = [threading.Thread(target=book, args=(it,), daemon=True)
               for it in lab.daemons for _ in range(2)]
    for it in threads:
        it.start()
    number = 0
    while time.monotonic() < end:
        daemon = lab.daemons[number % len(lab.daemons)]
        threading.Thread(target=chat, args=(daemon, number), daemon=True).start()
        number += 1
        time.sleep(1 / 18)
    for it in threads:
        it.join()
    for daemon in lab.daemons:
        ready = daemon.ready()
        lab.record.line(f"{daemon.name}: answers the readiness call: {ready}; "
                        f"{unanswered.count(daemon.name)} bookings unanswered")
    if trouble and not lab.spoilt:
        raise CannotRun("no answer was spoilt")
    lab.record.line(f"{len(lab.spoilt)} of {number} answers were spoilt; "
                    f"{len(late)} bookings unanswered at the timeout, {len(unanswered)} later")
    if len(unanswered) * 2 > len(late) and len(unanswered) > 5:
        return (f"after {len(lab.spoilt)} spoilt answers, {len(unanswered)} of {len(late)} "
                f"bookings that were unanswered at timeout_ms had no answer 0.5 s later, "
                f"at {sorted(set(unanswered))}")
    return ""


main(play)
