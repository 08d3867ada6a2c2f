"""Stand-ins for one small deployment: the platform's store, application
servers, clients, and the daemons themselves as separate processes.

Everything listens on loopback addresses of its own. Only the standard library
is used.
"""
import base64
import json
import os
import queue
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ATTEMPT = "Sycamoremount-Attempt-Id"
DEADLINE = "Sycamoremount-Deadline-Ms"
SEAL = "Sycamoremount-Response-Seal"
NOT_RUN = "Sycamoremount-Not-Executed"
EXPECTED = "Sycamoremount-Expected-Instance"
CALLER = "Sycamoremount-Caller-Service"

# Bounds of the small site dmsw-lampstore.
HEARTBEAT_S = 1.5
DRAIN_MS = 2000
TOUCH_MS = 3000
GRACE_S = 6
SLOTS = 6


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.start, " ".join(map(str, words)))
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


# ---------------------------------------------------------------- HTTP


class Closed(Exception):
    """The peer closed the connection."""


class Stream:
    """A connection with a read buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        out, self.buffer = self.buffer.split(b"\r\n", 1)
        return out

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        out, self.buffer = self.buffer[:size], self.buffer[size:]
        return out

    def rest(self):
        try:
            while True:
                self.fill()
        except (Closed, ConnectionError):
            pass
        out, self.buffer = self.buffer, b""
        return out


def read_headers(stream):
    headers = []
    while True:
        line = stream.line()
        if not line:
            return headers
        name, _, value = line.partition(b":")
        headers.append((name.decode("latin-1"), value.strip(b" \t").decode("latin-1")))


def header(headers, name):
    for each, value in headers:
        if each.lower() == name.lower():
            return value
    return None


def read_body(stream, headers, until_close=False):
    encoding = header(headers, "Transfer-Encoding")
    if encoding and encoding.lower().split(",")[-1].strip() == "chunked":
        out = b""
        while True:
            size = int(stream.line().split(b";")[0], 16)
            if size == 0:
                while stream.line():
                    pass
                return out
            out += stream.exactly(size)
            stream.line()
    length = header(headers, "Content-Length")
    if length is not None:
        return stream.exactly(int(length))
    return stream.rest() if until_close else b""


def response_bytes(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status]
    lines += ["%s: %s" % item for item in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def get(self, name):
        return header(self.headers, name)


def read_answer(stream, method="GET"):
    status = int(stream.line().split(b" ")[1])
    headers = read_headers(stream)
    while status == 100:
        status = int(stream.line().split(b" ")[1])
        headers = read_headers(stream)
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"")
    return Answer(status, headers, read_body(stream, headers, until_close=True))


class Listener:
    """A threaded server; handle(stream) serves one connection."""

    def __init__(self, address, handle):
        self.handle = handle
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(512)
        self.address = self.sock.getsockname()
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            self.handle(Stream(connection))
        except (Closed, OSError, ValueError, IndexError):
            pass
        finally:
            self.open.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def stop(self):
        """Ends like a process that exits: the kernel closes every socket."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# ---------------------------------------------------------------- the store


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self, ip):
        self.condition = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 100
        self.calls = 0
        self.listener = Listener((ip, 0), self.handle)
        self.address = "%s:%d" % self.listener.address

    def put(self, key, value):
        with self.condition:
            self.revision += 1
            before = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createdAt": before["createdAt"] if before else self.revision,
                "lease": 0,
            }
            self.events.append(self.items[key])
            self.condition.notify_all()

    def handle(self, stream):
        while True:
            method, target, _ = stream.line().decode().split(" ", 2)
            headers = read_headers(stream)
            body = read_body(stream, headers)
            self.calls += 1
            time.sleep(0.004)
            status, out = self.call(method, target, body)
            stream.sock.sendall(
                response_bytes(status, [("Content-Type", "application/json")], json.dumps(out).encode())
            )

    def call(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        with self.condition:
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
            if path == "/v1/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys], "hasMore": False, "at": self.revision}
            if path == "/v1/kv-watch":
                after = int(query["after"])
                end = time.monotonic() + int(query["waitMs"]) / 1000
                while True:
                    events = [e for e in self.events if e["revision"] > after and e["key"].startswith(query["prefix"])]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "at": self.revision}
                    self.condition.wait(left)
            if path == "/v1/kv-txn":
                return self.txn(json.loads(body))
        return 404, {}

    def txn(self, call):
        for row in call["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in call["expected"] if r["key"] in self.items]}
        for row in call["writes"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in call["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]))
        return 200, {"revision": self.revision}


# ---------------------------------------------------------------- servers


class Run:
    """One request that a server began to work on."""

    def __init__(self, server, method, path, headers, body):
        self.server, self.method, self.path = server, method, path
        self.headers, self.body = headers, body
        self.id = header(headers, ATTEMPT)
        self.at = time.monotonic()


class AppServer:
    """An application server: SLOTS at work, a short queue, one request at a
    time on a connection."""

    def __init__(self, record, ip, port, service, zone, control, work_s=0.02):
        self.record, self.service, self.zone = record, service, zone
        self.control, self.work_s = control, work_s
        self.ip, self.port = ip, port
        self.slots = threading.BoundedSemaphore(SLOTS)
        self.waiting = 0
        self.runs = []
        self.boots = 0
        self.beating = False
        self.start_boot()

    def start_boot(self, instance=None):
        self.boots += 1
        self.instance = instance or "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.down = False
        self.listener = Listener((self.ip, self.port), self.handle)

    def stop(self):
        self.down = True
        self.beating = False
        self.listener.stop()

    def handle(self, stream):
        while not self.down:
            method, path, _ = stream.line().decode("latin-1").split(" ", 2)
            headers = read_headers(stream)
            body = read_body(stream, headers)
            answer = self.answer(method, path, headers, body)
            if self.down:
                return
            stream.sock.sendall(answer)

    def answer(self, method, path, headers, body):
        if path == "/health":
            return response_bytes(
                200 if self.state == "ready" else 503, [("Sycamoremount-Instance-Id", self.instance)], b""
            )
        expected = header(headers, EXPECTED)
        if expected is not None and expected != self.instance:
            return response_bytes(421, [("Sycamoremount-Instance-Id", self.instance)], b"")
        request_id = header(headers, ATTEMPT)
        if request_id is None:
            return response_bytes(400, [(NOT_RUN, "1")], b"no id")
        echo = [(ATTEMPT, request_id)]
        if self.waiting >= 24:
            return response_bytes(503, echo + [(NOT_RUN, "1")], b"")
        self.waiting += 1
        with self.slots:
            self.waiting -= 1
            run = Run(self, method, path, headers, body)
            self.runs.append(run)
            self.record("run", self.service, self.instance, method, path, "id", request_id,
                        "caller", header(headers, CALLER), "body", len(body))
            time.sleep(self.work(run))
            return self.reply(run, echo)

    def work(self, run):
        return self.work_s

    def reply(self, run, echo):
        body = ("%s ran %s" % (self.instance, run.id)).encode()
        return response_bytes(200, echo + [(SEAL, "5ea1.%d" % len(body))], body)

    # Announcements.

    def notice(self, path, document, timeout=1.0):
        """Sends a notice to the daemon beside this server; true when acked."""
        body = json.dumps(document).encode()
        try:
            with socket.create_connection(self.control, timeout=timeout) as sock:
                sock.settimeout(timeout)
                sock.sendall(("POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                              "Content-Length: %d\r\n\r\n" % (path, len(body))).encode() + body)
                return read_answer(Stream(sock)).status // 100 == 2
        except (OSError, Closed, ValueError, IndexError):
            return False

    def heartbeat(self):
        self.sequence += 1
        return {
            "address": "%s:%d" % (self.ip, self.port),
            "information": {"service": self.service, "version": "v1", "zone": self.zone, "slots": SLOTS},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
            "born": self.born,
        }

    def send_heartbeat(self, document=None):
        return self.notice("/v1/instances/%s/heartbeat" % self.instance, document or self.heartbeat())

    def deregister(self):
        return self.notice("/v1/instances/%s/deregister" % self.instance, {"born": self.born})

    def begin_heartbeats(self):
        self.beating = True
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        boot = self.boots
        while self.beating and self.boots == boot:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_S)


# ---------------------------------------------------------------- daemons


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, fields):
    """Fills the plain placeholders of a settings template."""

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = lookup([fields], name)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, bool):
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}#/^]+)\}\}", fill, template)


class Daemon:
    """sycamored on one machine, started as deploy/system.toml says."""

    def __init__(self, mesh, index, zone, service):
        self.mesh, self.zone, self.service = mesh, zone, service
        self.ip = "127.%d.%d.%d" % (mesh.net[0], mesh.net[1], index + 1)
        self.name = "sidecar-%s-%d" % (zone, index + 1)
        self.outbound = (self.ip, 8629)
        self.ready = (self.ip, 8625)
        self.control = (self.ip, 8620)
        self.app_port = 8628
        self.process = None
        self.starts = 0

    def settings(self):
        at = lambda port: "%s:%d" % (self.ip, port)
        return {
            "nodeName": self.name, "role": "daemon", "machineClass": "sidecar", "serves": ["sidecar"],
            "ipAddress": self.ip, "zone": self.zone, "region": "daegu",
            "limits": {"linkBandwidthMbps": 1000.0, "memoryMb": 260, "fileDescriptors": 4100},
            "appAddress": at(self.app_port), "service": self.service,
            "listenAddresses": {"inbound": at(8624), "outbound": at(8629), "ready": at(8625), "control": at(8620)},
            "internalPortRange": [7600, 7615], "seedNodes": [],
            "heartbeatIntervalMs": int(HEARTBEAT_S * 1000),
            "platform": {"address": self.mesh.store.address},
            "bounds": {"budgetSlack": 62},
        }

    def write_settings(self):
        with open(os.path.join(ROOT, "platform", "settings.json.template"), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        path = os.path.join(self.mesh.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "bin", "sycamored"), "--settings", path],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.mesh.folder, "SYCAMOREMOUNT_BOOT": path},
        )
        log.close()
        self.starts += 1
        self.mesh.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.mesh.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, timeout=1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                return read_answer(Stream(sock)).status == 200
        except (OSError, Closed, ValueError, IndexError):
            return False

    def log_lines(self):
        with open(os.path.join(self.mesh.folder, self.name + ".log"), "rb") as file:
            return file.read().decode("utf-8", "replace").splitlines()


class CannotRun(Exception):
    """The case could not be set up."""


class Mesh:
    """A deployment: a store, and one daemon and server on each machine."""

    def __init__(self, record_path, machines, routes, services, server_type=AppServer):
        if not os.access(os.path.join(ROOT, "target", "bin", "sycamored"), os.X_OK):
            raise CannotRun("target/bin/sycamored is missing; run the build of the deploy file")
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = (100 + os.getpid() % 100, random.randrange(1, 250))
        self.store = Store("127.%d.%d.250" % self.net)
        self.version = 7
        self.routes, self.services = routes, services
        self.daemons, self.servers = [], []
        for index, (zone, service) in enumerate(machines):
            daemon = Daemon(self, index, zone, service)
            self.daemons.append(daemon)
            self.servers.append(server_type(self.record, daemon.ip, daemon.app_port, service, zone, daemon.control))
        self.write_config()

    def write_config(self):
        hosts = {}
        for route in self.routes:
            route = dict(route)
            hosts.setdefault(route.pop("host"), []).append(route)
        document = {
            "version": self.version,
            "services": [{"name": s, "healthPath": "/health", "connectionLimit": 130, "protocol": "h1", "tls": False}
                         for s in self.services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": h, "paths": p} for h, p in hosts.items()],
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record("config", self.version)

    def start(self, settle_s=2.5):
        for daemon in self.daemons:
            daemon.start()
        end = time.monotonic() + 15
        while not all(d.is_ready() for d in self.daemons):
            if time.monotonic() > end:
                raise CannotRun("the daemons are not ready")
            time.sleep(0.1)
        for server in self.servers:
            server.begin_heartbeats()
        time.sleep(settle_s)

    def stop(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process:
                daemon.process.wait()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, kind, service, timeout_ms=1500, target_ms=250, priority=1, attempts=2):
    return {"host": host, "name": "r-" + prefix.strip("/").replace("/", "-"), "prefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": priority, "service": service,
            "maxAttempts": attempts}


# ---------------------------------------------------------------- clients


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, host, path, request_id, deadline_ms, body=b"", extra=(), framing=None):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s" % host, "%s: %s" % (ATTEMPT, request_id),
             "%s: %d" % (DEADLINE, deadline_ms)]
    lines += ["%s: %s" % item for item in extra]
    if framing:
        lines += framing
    elif body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Client:
    """One connection of a client to the daemon of its machine."""

    def __init__(self, record, address, timeout=8):
        self.record = record
        self.sock = socket.create_connection(address, timeout=1)
        self.sock.settimeout(timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = Stream(self.sock)

    def send(self, method, host, path, deadline_ms, body=b"", extra=(), framing=None, request_id=None):
        request_id = request_id or new_id()
        self.record("sent", method, path, "id", request_id, "deadline", deadline_ms, "body", len(body))
        self.sock.sendall(request_bytes(method, host, path, request_id, deadline_ms, body, extra, framing))
        return request_id

    def receive(self, request_id, method="GET"):
        """The answer, or None if the connection ended without one."""
        try:
            answer = read_answer(self.stream, method)
        except (Closed, ConnectionError, socket.timeout, ValueError, IndexError) as failure:
            self.record("closed", "id", request_id, type(failure).__name__)
            return None
        self.record("answered", "id", request_id, answer.status, "answer-id", answer.get(ATTEMPT),
                    "body", answer.body[:80])
        return answer

    def close(self):
        self.sock.close()


def call(record, address, method, host, path, deadline_ms, body=b"", **rest):
    """One request on a new connection: (id, answer or None)."""
    request_id = rest.pop("request_id", None) or new_id()
    try:
        client = Client(record, address)
    except OSError as failure:
        record("refused", "id", request_id, type(failure).__name__)
        return request_id, None
    try:
        client.send(method, host, path, deadline_ms, body, request_id=request_id, **rest)
        return request_id, client.receive(request_id, method)
    except OSError as failure:
        record("closed", "id", request_id, type(failure).__name__)
        return request_id, None
    finally:
        client.close()


def main(run_case):
    """Runs run_case(trouble) and maps its outcome to the exit code: 1 broken, 0
    held, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = run_case(trouble)
    except CannotRun as failure:
        print("cannot run:", failure)
        sys.exit(2)
    except Exception as failure:  # A defect of the case is no finding.
        print("cannot run: %s: %s" % (type(failure).__name__, failure))
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
