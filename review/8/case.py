"""A server restarts under its id, leaves, and its first report arrives after
the acknowledgement of its leaving."""
import asyncio, os, sys, time

sys.dont_write_bytecode = True

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-2"))
from mesh import CannotRun, Server, main

HOST, PREFIX, SERVICE = "nony93.example", "/puba11/", "xano55b"
DRAIN_MS = 2000      # bounds.drainMs of the small deployments
SERVES_ON_S = 4.0    # after the ack: drainMs and a little longer
DOWN_S = 1.5         # between the crash and the new boot
LEAVES_AFTER_S = 1.4 # before its second report would be due (1.5 s)
REPORT_DELAY_S = 3.0 # a report may arrive seconds late


async def case(mesh, record, trouble):
    await mesh.start([("dalseo", SERVICE), ("suseong", SERVICE),
                      ("buk", "dele69a")])
    beside, other, entry = mesh.machines
    mesh.configure(3, [(HOST, [{
        "name": "r-1", "prefix": PREFIX, "kind": "non_idempotent",
        "timeoutMs": 1500, "targetLatencyMs": 250, "priority": 1,
        "service": SERVICE, "maxAttempts": 2}])])
    for machine in mesh.machines:
        machine.start()
    for machine in mesh.machines:
        await machine.until_ready()

    # A second server of the service stays for the whole time.
    stays = Server(mesh, other, SERVICE, "i-stays", 300)
    await stays.start()
    stays.keep_beating()
    first = Server(mesh, beside, SERVICE, "i-lens", 60)
    await first.start()
    first.keep_beating()
    await asyncio.sleep(3)
    for _ in range(20):
        await asyncio.gather(*(
            mesh.request(entry, "POST", HOST, PREFIX + "lamp", 1500, b"lens")
            for _ in range(8)))
        if first.arrivals:
            break
    else:
        raise CannotRun("the server got no request while it was ready")

    # It crashes and is back under its id. The network holds its first report
    # back. It is told to go, sends its leaving notice, and serves on.
    first.end()
    await asyncio.sleep(DOWN_S)
    second = Server(mesh, beside, SERVICE, "i-lens", 300)
    await second.start()
    report = second.beat_body("ready")
    record.add("its first report is on its way")

    async def late():
        await asyncio.sleep(REPORT_DELAY_S)
        await second.say("heartbeat", report, " (arrives late)")

    reporting = asyncio.ensure_future(late()) if trouble else None
    await asyncio.sleep(LEAVES_AFTER_S)
    if not await second.say("deregister", {"born": second.born}):
        raise CannotRun("the leaving notice was not acknowledged")
    acked = time.monotonic()

    answers = {}

    async def clients():
        while time.monotonic() < acked + SERVES_ON_S + 1:
            attempt, status, _, _ = await mesh.request(
                entry, "POST", HOST, PREFIX + "lamp", 1500, b"lens")
            answers[attempt] = status

    async def leave():
        await asyncio.sleep(acked + SERVES_ON_S - time.monotonic())
        second.end()

    await asyncio.gather(leave(), *(clients() for _ in range(8)))
    if reporting:
        await reporting
    late_runs = [(at - acked, attempt) for at, attempt in second.arrivals
                 if (at - acked) * 1000 > DRAIN_MS]
    lost = [attempt for _, attempt in late_runs if answers[attempt] != 200]
    record.add(f"{len(late_runs)} requests reached the server later than "
               f"{DRAIN_MS} ms after the ack of its leaving; {len(lost)} of "
               f"them were lost with it: {lost}")
    return bool(late_runs)


main(case)
