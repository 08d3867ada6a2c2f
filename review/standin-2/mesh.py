"""Stand-ins for the scripts of the second review: the platform's store, the
application servers, clients, and the daemons as separate processes, all on
loopback addresses. They follow PROTOCOL.md and DEPLOY.md; where a page is
silent they behave like a sound store, server or client."""
import asyncio, base64, json, os, random, re, shutil, signal, subprocess
import tempfile, time, tomllib, urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ID, DEADLINE = "Sycamoremount-Attempt-Id", "Sycamoremount-Deadline-Ms"
SEAL, NOT_RUN = "Sycamoremount-Response-Seal", "Sycamoremount-Not-Executed"
EXPECTED = "Sycamoremount-Expected-Instance"
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


def now_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: one line for each thing sent, answered and run."""

    def __init__(self, path):
        self.file, self.start = open(path, "w"), time.monotonic()

    def at(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.at():8.3f} s  {text}\n")
        self.file.flush()


# ------------------------------------------------------------ HTTP messages

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers = method, target, headers
        self.body = body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))

    def get(self, name):
        return next((v for k, v in self.headers if k.lower() == name.lower()),
                    None)


async def read_head(reader):
    line = await reader.readline()
    if not line.strip():
        return None, []
    headers = []
    while True:
        text = await reader.readline()
        if text in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        if not text:
            raise ConnectionError("closed inside a head")
        name, _, value = text.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))


async def read_body(reader, headers):
    fields = {k.lower(): v for k, v in headers}
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpListener:
    """Serves requests one at a time on each connection."""

    def __init__(self, ip, handler):
        self.ip, self.handler = ip, handler
        self.port, self.server, self.open = 0, None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    break
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                answer = await self.handler(request, reader, writer)
                if answer is None:
                    break
                status, extra, data = answer
                extra = list(extra) + [("Content-Length", str(len(data)))]
                writer.write(head(status, extra) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def stop(self):
        """Like the end of a process: its connections break."""
        if self.server:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


# -------------------------------------------------------- the platform's store

class Store:
    def __init__(self, ip):
        self.items, self.history, self.revision = {}, [], 100
        self.changed = asyncio.Event()
        self.http = HttpListener(ip, self.handle)

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createdAt": old["createdAt"] if old else self.revision, "lease": 0}
        self.note(dict(self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, reader, writer):
        await asyncio.sleep(0.004)
        status, body = await self.answer(request)
        return status, [("Content-Type", "application/json")], json.dumps(
            body).encode()

    async def answer(self, request):
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (
                404, {"at": self.revision})
        if path == "/v1/kv-range":
            found = sorted(k for k in self.items
                           if k.startswith(query.get("prefix", ""))
                           and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in found[:500]],
                         "hasMore": len(found) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.txn(json.loads(request.body))
        if path == "/v1/kv-lease":
            return 200, {"lease": 7000, "ttlMs": json.loads(
                request.body)["ttlMs"]}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]]
                                       for r in body["expected"]
                                       if r["key"] in self.items]}
        for row in body.get("writes", []):
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}


# ---------------------------------------------------------- the machines' parts

class Machine:
    """Addresses of one machine, and the daemon's process on it."""

    def __init__(self, mesh, name, zone, ip, service):
        self.mesh, self.name, self.zone = mesh, name, zone
        self.ip, self.service, self.process = ip, service, None
        self.starts = 0

    def address(self, port):
        return f"{self.ip}:{self.mesh.ports[port]}"

    def settings(self):
        """The template of the deploy file, filled in as DEPLOY.md tells."""
        fields = {
            "nodeName": self.name, "zone": self.zone,
            "region": "dalton-ga" if "dalton" in self.zone else "daegu",
            "ipAddress": self.ip, "service": self.service,
            "appAddress": self.address("app"), "heartbeatIntervalMs": 1500,
            "listenAddresses.outbound": self.address("outbound"),
            "listenAddresses.ready": self.address("ready"),
            "listenAddresses.control": self.address("control"),
            "internalPortRange.0": self.mesh.ports["peer"],
            "platform.address": f"{self.mesh.store.http.ip}:"
                                f"{self.mesh.store.http.port}",
            "limits.linkBandwidthMbps": 1000.0, "bounds.budgetSlack": 62,
            "bounds.revocationMs": ""}
        text = open(os.path.join(ROOT, self.mesh.role["template"])).read()
        text = re.sub(r"\{\{([A-Za-z0-9.]+)\}\}",
                      lambda m: str(fields[m.group(1)]), text)
        json.loads(text)
        return text

    def start(self):
        self.starts += 1
        path = os.path.join(self.mesh.folder, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        # The command of the deploy file, with the settings file's place here.
        words = [path if w.startswith("/etc/") else w
                 for w in self.mesh.role["run"].split()]
        self.log = os.path.join(self.mesh.folder,
                                f"{self.name}.{self.starts}.log")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["SYCAMOREMOUNT_BOOT"] = path
        self.process = subprocess.Popen(words, cwd=ROOT, env=env,
                                        stdout=open(self.log, "w"),
                                        stderr=subprocess.STDOUT)
        self.mesh.record.add(f"daemon of {self.name} starts")

    def signal(self, number):
        self.mesh.record.add(f"{signal.Signals(number).name} to the daemon of "
                             f"{self.name}")
        self.process.send_signal(number)

    async def ready(self):
        try:
            status, _, _ = await call(self.address("ready"), "GET",
                                      "/v1/readiness", [], b"", 1.0)
            return status == 200
        except (OSError, ConnectionError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return False

    async def until_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while not await self.ready():
            if time.monotonic() > end:
                raise CannotRun(f"the daemon of {self.name} is not ready")
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    pass


async def call(address, method, target, headers, body, timeout):
    """One request on a new connection. Returns status, headers and body."""
    ip, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            fields = list(headers)
            if body or method != "GET":
                fields.append(("Content-Length", str(len(body))))
            text = f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in fields) + "\r\n"
            writer.write(text.encode("latin-1") + body)
            line, found = await read_head(reader)
            if line is None:
                raise ConnectionError("closed without an answer")
            return int(line.split()[1]), dict(
                (k.lower(), v) for k, v in found), await read_body(
                    reader, found)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Server:
    """One boot of an application server beside a daemon."""

    def __init__(self, mesh, machine, service, name, work_ms, born=None):
        self.mesh, self.machine, self.service = mesh, machine, service
        self.name, self.work = name, work_ms / 1000
        self.born = born if born is not None else now_ms()
        self.sequence, self.arrivals, self.slots = 0, [], 6
        self.http = HttpListener(machine.ip, self.handle)
        self.beating = None

    async def start(self):
        await self.http.start(self.mesh.ports["app"])
        self.mesh.record.add(f"server {self.name} (born {self.born}, "
                             f"{self.service}) starts on {self.machine.name}")

    def end(self):
        if self.beating:
            self.beating.cancel()
        self.http.stop()
        self.mesh.record.add(f"server {self.name} (born {self.born}) ends")

    async def handle(self, request, reader, writer):
        if request.path == "/health":
            return 200, [("Sycamoremount-Instance-Id", self.name)], b""
        attempt = request.get(ID) or "-"
        if request.get(EXPECTED) not in (None, self.name):
            return 421, [(NOT_RUN, "1"),
                         ("Sycamoremount-Instance-Id", self.name)], b""
        self.arrivals.append((time.monotonic(), attempt))
        self.mesh.record.add(f"server {self.name} (born {self.born}) runs "
                             f"{attempt}")
        await asyncio.sleep(self.work)
        self.mesh.record.add(f"server {self.name} (born {self.born}) has "
                             f"answered {attempt}")
        return 200, [(ID, attempt), (SEAL, f"{self.name}.{attempt}")], (
            f"done {attempt}\n".encode())

    def beat_body(self, state):
        self.sequence += 1
        return {"address": self.machine.address("app"), "born": self.born,
                "information": {"service": self.service, "version": "v1",
                                "zone": self.machine.zone,
                                "slots": self.slots},
                "status": {"state": state, "sequence": self.sequence,
                           "coldRemainingMs": 0}}

    async def say(self, action, body, note=""):
        """Sends a report or a leaving notice; true if it was acknowledged."""
        target = f"/v1/instances/{self.name}/{action}"
        text = json.dumps(body)
        self.mesh.record.add(f"{target}{note} {text}")
        try:
            status, _, _ = await call(
                self.machine.address("control"), "POST", target,
                [("Host", self.machine.address("control")),
                 ("Content-Type", "application/json")], text.encode(), 1.0)
        except (OSError, ConnectionError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as failure:
            self.mesh.record.add(f"  no acknowledgement: {failure!r}")
            return False
        self.mesh.record.add(f"  answered {status}")
        return 200 <= status < 300

    def keep_beating(self, every=1.5):
        async def loop():
            while True:
                await self.say("heartbeat", self.beat_body("ready"))
                await asyncio.sleep(every)
        self.beating = asyncio.ensure_future(loop())


class Mesh:
    """A few machines of a small deployment."""

    def __init__(self, record):
        self.record, self.machines = record, []
        self.folder = tempfile.mkdtemp(prefix="review-")
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"),
                                   "rb"))
        self.role = next(iter(deploy["roles"].values()))
        if not os.path.exists(os.path.join(ROOT, self.role["run"].split()[0])):
            raise CannotRun("the build of the deploy file has not run")
        self.net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        low = random.randint(12000, 28000)
        names = ("outbound", "ready", "control", "app", "peer")
        self.ports = {name: low + i for i, name in enumerate(names)}
        self.store = Store(f"{self.net}.1")

    async def start(self, places):
        """places: rows of zone and service, one for each machine."""
        await self.store.http.start()
        for i, (zone, service) in enumerate(places):
            self.machines.append(Machine(self, f"sidecar-{zone}-{i + 1}", zone,
                                         f"{self.net}.{i + 10}", service))

    def configure(self, version, hosts):
        """hosts: rows of host and routes; a route as in the document."""
        services = sorted({m.service for m in self.machines})
        document = {
            "version": version,
            "services": [{"name": s, "healthPath": "/health",
                          "connectionLimit": 130, "protocol": "h1",
                          "tls": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "virtualHosts": [{"host": h, "paths": p} for h, p in hosts]}
        self.store.put("op/config", json.dumps(document).encode())
        self.record.add(f"the operator writes configuration {version}")

    async def request(self, machine, method, host, target, deadline_ms,
                      body=b"", attempt=None):
        """One client attempt; status 0 means that no answer came."""
        attempt = attempt or f"{random.getrandbits(64):016x}"
        self.record.add(f"client on {machine.name} sends {method} {target} "
                        f"{attempt}")
        try:
            status, headers, data = await call(
                machine.address("outbound"), method, target,
                [("Host", host), (ID, attempt),
                 (DEADLINE, str(deadline_ms))], body, deadline_ms / 1000 + 0.5)
        except (OSError, ConnectionError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as failure:
            self.record.add(f"  {attempt}: no answer, {failure!r}")
            return attempt, 0, {}, b""
        self.record.add(f"  {attempt}: {status}, seal "
                        f"{headers.get(SEAL.lower(), 'none')}")
        return attempt, status, headers, data

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.store.http.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record.add(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, seconds=110):
    """Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case
    could not run. `case` is a coroutine of mesh, record and trouble."""
    folder = os.path.dirname(os.path.abspath(__import__("sys").argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        mesh = None
        try:
            mesh = Mesh(record)
            broken = await asyncio.wait_for(case(mesh, record, trouble),
                                            seconds)
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            record.add(f"could not run: {failure!r}")
            return 2
        finally:
            if mesh:
                mesh.stop()

    code = asyncio.run(run())
    record.add({0: "the rule held", 1: "THE RULE WAS BROKEN",
                2: "the case could not run"}[code])
    print(open(record.file.name).read().splitlines()[-1])
    raise SystemExit(code)
