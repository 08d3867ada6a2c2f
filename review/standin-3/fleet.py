"""A small deployment on loopback: the platform's store, servers and clients
as small stand-ins, and one real daemon beside each server.

The daemons run with the command of deploy/system.toml and with the settings
that platform/settings.json.template gives. Only the path of the settings file
differs: it lies in a temporary folder.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import re
import shlex
import shutil
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
TOUCH_S = 3.0


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        print("%9.3f  %s" % (self.now(), text), file=self.file, flush=True)

    def say(self, text):
        self.write(text)
        print(text, flush=True)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode("latin1")] = (
            value.strip().decode("latin1"))
    return lines[0].decode("latin1"), headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return out
            out += await reader.readexactly(size)
            await reader.readexactly(2)
    size = int(headers.get("content-length", "0") or 0)
    return await reader.readexactly(size) if size else b""


async def exchange(address, method, path, body=b"", headers="", timeout=5.0):
    """One request on a new connection: status, headers, body. An error's name
    stands in place of the status if no answer came."""
    writer = None
    try:
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), 1)
        head = "%s %s HTTP/1.1\r\n%s" % (method, path, headers)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        line, answer = await asyncio.wait_for(read_head(reader), timeout)
        data = await asyncio.wait_for(read_body(reader, answer), timeout)
        return int(line.split(" ")[1]), answer, data
    except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
        return type(error).__name__, {}, b""
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 7000
        self.down = False  # Connections are reset.
        self.connections = set()

    async def start(self):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        self.expiry = asyncio.create_task(self.expire())

    def set_down(self, down):
        self.down = down
        if down:
            for writer in list(self.connections):
                writer.transport.abort()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        dead = [k for k, i in self.items.items() if i["lease"] == lease]
        if dead:
            await self.apply([], dead)

    async def apply(self, writes, deletes):
        self.revision += 1
        for write in writes:
            old = self.items.get(write["key"])
            item = {"key": write["key"], "value": write["value"],
                    "revision": self.revision,
                    "createdAt": old["createdAt"] if old else self.revision,
                    "lease": write.get("lease", 0) or 0}
            self.items[write["key"]] = item
            self.events.append((self.revision, item))
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append((self.revision, {
                    "key": key, "revision": self.revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return await self.apply([{"key": key, "value": value}], [])

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.down:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                if self.down:
                    break
                status, answer = await self.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d OK\r\n"
                             b"Content-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            if self.down:
                writer.transport.abort()
            else:
                writer.close()

    async def call(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(
            parts.query, keep_blank_values=True).items()}
        if parts.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"at": self.revision}
            return 200, dict(item, at=self.revision)
        if parts.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500,
                         "at": self.revision}
        if parts.path == "/v1/kv-watch":
            return await self.watch(query)
        if parts.path == "/v1/kv-txn":
            return await self.transact(json.loads(body))
        if parts.path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        lease = int(parts.path.rsplit("/", 1)[1])
        if parts.path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        if parts.path.startswith("/v1/kv-lease-end/"):
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 30000)) / 1000
        while True:
            events = [e for r, e in self.events
                      if r > after and e["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, call):
        expected = call.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in expected
                                       if r["key"] in self.items]}
        writes = call.get("writes", [])
        for write in writes:
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        revision = await self.apply(writes, call.get("deletes", []))
        return 200, {"revision": revision}


class Server:
    """The application server beside a daemon."""

    def __init__(self, record, service, zone):
        self.record = record
        self.service, self.zone = service, zone
        self.runs = []  # (time, request id, path)
        self.connections = set()
        self.crashing_path = None
        self.crashes = []
        self.back_after_s = 4.0
        self.work_s = 0.01
        self.set_new_boot()

    def set_new_boot(self):
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"

    async def start(self, daemon):
        self.daemon = daemon
        await self.listen()

    async def listen(self):
        host, port = self.daemon.app.rsplit(":", 1)
        self.listener = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.create_task(self.send_beats())

    def report(self):
        self.sequence += 1
        return json.dumps({
            "address": self.daemon.app, "born": self.born,
            "information": {"service": self.service, "version": "v1",
                            "zone": self.zone, "slots": 6},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldRemainingMs": 0}}).encode()

    async def send_report(self, body):
        return (await exchange(
            self.daemon.control, "POST",
            "/v1/instances/%s/heartbeat" % self.id, body,
            "Host: control\r\nContent-Type: application/json\r\n", 1.0))[0]

    async def send_deregister(self):
        body = json.dumps({"born": self.born}).encode()
        return (await exchange(
            self.daemon.control, "POST",
            "/v1/instances/%s/deregister" % self.id, body,
            "Host: control\r\nContent-Type: application/json\r\n", 1.0))[0]

    async def send_beats(self):
        while True:
            await self.send_report(self.report())
            await asyncio.sleep(HEARTBEAT_S)

    def close(self):
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def crash(self, path):
        self.crashes.append(self.record.now())
        self.record.write("server %s crashes while it runs %s"
                          % (self.id, path))
        self.close()
        await asyncio.sleep(self.back_after_s)
        self.set_new_boot()
        await self.listen()
        self.record.write("its next boot is %s" % self.id)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                _, path, _ = line.split(" ", 2)
                if path == "/health":
                    writer.write(b"HTTP/1.1 200 OK\r\n"
                                 b"Sycamoremount-Instance-Id: %s\r\n"
                                 b"Content-Length: 0\r\n\r\n"
                                 % self.id.encode())
                    continue
                request = headers.get("sycamoremount-attempt-id", "")
                wanted = headers.get("sycamoremount-expected-instance")
                if wanted and wanted != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\n"
                                 b"Sycamoremount-Instance-Id: %s\r\n"
                                 b"Sycamoremount-Attempt-Id: %s\r\n"
                                 b"Content-Length: 0\r\n\r\n"
                                 % (self.id.encode(), request.encode()))
                    continue
                self.runs.append((self.record.now(), request, path))
                self.record.write("server %s runs %s %s"
                                  % (self.id, request, path))
                if path == self.crashing_path:
                    self.crash_task = asyncio.create_task(self.crash(path))
                    return
                await asyncio.sleep(self.work_s)
                data = (self.id + " " +
                        hashlib.sha256(body).hexdigest()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\n"
                             b"Sycamoremount-Attempt-Id: %s\r\n"
                             b"Sycamoremount-Response-Seal: seal.%s\r\n"
                             b"Content-Length: %d\r\n\r\n"
                             % (request.encode(), request.encode(), len(data))
                             + data)
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Daemon:
    def __init__(self, fleet, number, service, zone):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.name = "sidecar-%s-%d" % (zone, number + 1)
        self.address = "%s.%d" % (fleet.network, number + 10)
        ports = fleet.ports
        self.outbound, self.ready, self.control, self.app = (
            "%s:%d" % (self.address, ports[k])
            for k in ("outbound", "ready", "control", "app"))
        self.file = os.path.join(fleet.folder, self.name + ".json")
        self.process = None
        self.started = None
        self.stopped = None  # Time of the last signal.

    def settings(self):
        values = {
            "nodeName": self.name, "zone": self.zone, "region": "daegu",
            "listenAddresses.outbound": self.outbound,
            "listenAddresses.ready": self.ready,
            "listenAddresses.control": self.control,
            "ipAddress": self.address,
            "internalPortRange.0": self.fleet.ports["internal"],
            "service": self.service, "appAddress": self.app,
            "platform.address": self.fleet.store.address,
            "limits.linkBandwidthMbps": "1000.0", "bounds.budgetSlack": 62,
            "bounds.revocationMs": "", "heartbeatIntervalMs": 1500}
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values[m.group(1)]),
                      self.fleet.template)

    async def start(self):
        with open(self.file, "w") as file:
            file.write(self.settings())
        command = [self.file if word == "/etc/sycamoremount/node.yaml"
                   else word for word in self.fleet.command]
        with open(self.file[:-5] + ".log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=REPOSITORY,
                env=dict(os.environ, SYCAMOREMOUNT_BOOT=self.file))
        self.started = self.fleet.record.now()
        self.fleet.record.write("%s is started" % self.name)

    async def stop(self, signal_number):
        self.stopped = self.fleet.record.now()
        self.fleet.record.write("%s gets signal %d"
                                % (self.name, signal_number))
        self.process.send_signal(signal_number)
        await self.process.wait()

    async def is_ready(self):
        return (await exchange(self.ready, "GET", "/v1/readiness",
                               headers="Host: ready\r\n", timeout=1))[0] == 200

    def is_in_touch(self, now):
        """No start and no signal in the last touchMs."""
        last = max(self.started, self.stopped or 0)
        return now - last > TOUCH_S


class Fleet:
    def __init__(self, record, layout):
        self.record, self.layout = record, layout
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["daemon"]
        self.command = shlex.split(role["run"])
        with open(os.path.join(REPOSITORY, role["template"])) as file:
            self.template = file.read()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.daemons, self.servers = [], []

    def choose_ports(self):
        """Ports that are free at all addresses of the deployment."""
        for _ in range(50):
            self.network = "127.%d.%d" % (random.randrange(1, 250),
                                          random.randrange(1, 250))
            base = random.randrange(12000, 30000)
            names = ("outbound", "ready", "control", "app", "internal", "admin")
            self.ports = {name: base + i for i, name in enumerate(names)}
            try:
                for number in range(len(self.layout)):
                    for port in self.ports.values():
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (self.network, number + 10),
                                        port))
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    async def start(self, config):
        if not os.path.exists(os.path.join(REPOSITORY, self.command[0])):
            raise CannotRun("the build of the deploy file is missing")
        self.choose_ports()
        self.store = Store()
        await self.store.start()
        await self.store.put("op/config", config)
        for number, (service, zone) in enumerate(self.layout):
            daemon = Daemon(self, number, service, zone)
            server = Server(self.record, service, zone)
            await daemon.start()
            await server.start(daemon)
            self.daemons.append(daemon)
            self.servers.append(server)
        await self.wait_ready()
        await asyncio.sleep(TOUCH_S + 1)

    async def wait_ready(self, seconds=20):
        for _ in range(int(seconds * 5)):
            if all(await asyncio.gather(*(d.is_ready()
                                          for d in self.daemons))):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the daemons did not get ready")

    async def request(self, daemon, method, path, body=b"", deadline_ms=1500):
        """A client's request on a new connection: its id and its status."""
        request = "%016x" % random.getrandbits(64)
        self.record.write("client sends %s %s %s to %s"
                          % (request, method, path, daemon.name))
        status, _, _ = await exchange(
            daemon.outbound, method, path, body,
            "Host: desk.example\r\nSycamoremount-Attempt-Id: %s\r\n"
            "Sycamoremount-Deadline-Ms: %d\r\n" % (request, deadline_ms), 6.0)
        self.record.write("client gets %s for %s" % (status, request))
        return request, status

    async def close(self):
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, prefix, kind, service):
    return {"name": name, "prefix": prefix, "kind": kind, "timeoutMs": 1200,
            "targetLatencyMs": 200, "priority": 1, "service": service,
            "maxAttempts": 2}


def make_config(services, routes):
    return {
        "version": 7,
        "services": [{"name": name, "healthPath": "/health",
                      "connectionLimit": 130, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "virtualHosts": [{"host": "desk.example", "paths": routes}]}


def play(folder, layout, config, scenario):
    """Runs a scenario: exit code 1 if the rule was broken, 0 if it held, 2 if
    the case could not run. scenario(fleet, record) returns whether the rule
    held."""
    record = Record(folder)

    async def run():
        fleet = Fleet(record, layout)
        try:
            await fleet.start(config)
            return 0 if await asyncio.wait_for(scenario(fleet, record),
                                               95) else 1
        except (CannotRun, asyncio.TimeoutError) as error:
            record.say("could not run: %r" % error)
            return 2
        finally:
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: None)
            await fleet.close()

    record.say("disruption: %s" % ("yes" if TROUBLE else "no (TROUBLE=0)"))
    code = asyncio.run(run())
    record.say("result: %s" % ("held", "BROKEN", "could not run")[code])
    sys.exit(code)
