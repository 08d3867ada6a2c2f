"""The daemons of a zone are stopped at the same moment while they carry
requests that end well inside the grace time."""
import asyncio, os, signal, sys

sys.dont_write_bytecode = True

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-2"))
from mesh import CannotRun, Server, main

HOST, PREFIX, SERVICE = "tipu24.example", "/boye981/", "xano55b"
GRACE_S = 6.0        # bounds.graceS of the small deployments
SENT_AFTER_S = 1.5   # after the SIGTERM; what is sent within 3 s counts
WORK_MS = 2000       # ends 3.5 s after the SIGTERM
BUDGET_MS = 2500     # of dye-lot-hold, the longest of the small deployments


async def case(mesh, record, trouble):
    # Zone dalton-c has three machines, as in the site file. The server that
    # works stands in another zone and stays.
    await mesh.start([("dalton-a", SERVICE), ("dalton-b", "dele69a"),
                      ("dalton-c", "dele69a"), ("dalton-c", SERVICE),
                      ("dalton-c", "gowu98c")])
    beside, zone = mesh.machines[0], mesh.machines[2:]
    mesh.configure(3, [(HOST, [{
        "name": "r-1", "prefix": PREFIX, "kind": "non_idempotent",
        "timeoutMs": BUDGET_MS, "targetLatencyMs": 600, "priority": 1,
        "service": SERVICE, "maxAttempts": 2}])])
    for machine in mesh.machines:
        machine.start()
    for machine in mesh.machines:
        await machine.until_ready()
    server = Server(mesh, beside, SERVICE, "i-hides", WORK_MS)
    await server.start()
    server.keep_beating()
    await asyncio.sleep(5)

    if trouble:
        for machine in zone:
            machine.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    answers = await asyncio.gather(*(
        mesh.request(machine, "POST", HOST, PREFIX + "hide", BUDGET_MS, b"dye")
        for machine in zone for _ in range(2)))
    if not server.arrivals:
        raise CannotRun("no request reached the server")
    ran = {attempt for _, attempt in server.arrivals}
    lost = [attempt for attempt, status, _, _ in answers
            if attempt in ran and status == 0]
    await asyncio.sleep(GRACE_S - SENT_AFTER_S - BUDGET_MS / 1000)
    for machine in zone:
        record.add(f"the daemon of {machine.name} "
                   + ("runs" if machine.process.poll() is None else
                      f"has ended with {machine.process.returncode}"))
    record.add(f"{len(ran)} requests ran at the server, {len(lost)} of them "
               f"ended with a closed connection and no answer: {lost}")
    return bool(lost)


main(case)
