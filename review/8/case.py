"""An engine runs an order and fails it with 503; the gateway passes the 503 on as a promise."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

ORDERS = 60
FAILED = (2, 5)  # two in five requests fail at the engine
PROMISES = (408, 421, 429, 503)


class FailingEngine(stand_ins.Engine):
    """May fail part of the requests that it runs with 503, as its own downstream is away."""

    fails = False

    async def handle(self, request, reader, writer):
        if await self.refuse_if_misdirected(request, writer):
            return True
        self.begin_run(request)
        await asyncio.sleep(self.work_s)
        fails = self.fails and len(self.runs) % FAILED[1] < FAILED[0]
        status = 503 if fails else 200
        body = b"failed after the order was written" if fails else b"confirmed"
        writer.write(stand_ins.encode_response(status, self.answer_headers(request), body))
        await writer.drain()
        return True


async def place_order(deployment, number):
    """Places an order as a client does: once more after a promise that it has not run."""
    promised = []
    for attempt in range(2):
        request_id = f"order-{number}-{attempt}"
        headers = [("Medlaryoke-Request-Id", request_id), ("Medlaryoke-Deadline-Ms", "1000")]
        deployment.record.write("sent", id=request_id, order=number)
        front = deployment.front(number % len(deployment.gateway_ips))
        answer = await stand_ins.call(front, "POST", "/confirm/1", headers, b"pallets: 2")
        deployment.record.write(
            "answered",
            id=request_id,
            order=number,
            status=answer.status,
            not_executed=answer.header("Medlaryoke-Not-Executed"),
            stamp=answer.header("Medlaryoke-Server-Stamp"),
        )
        if answer.status not in PROMISES:
            break
        promised.append(request_id)
    return promised


async def case(has_trouble):
    deployment = stand_ins.Deployment(FOLDER, gateways=2)
    try:
        routes = [stand_ins.route("confirm", "desk", "unsafe", maxAttempts=1, timeoutMs=1000)]
        await deployment.start(stand_ins.configuration(1, routes))
        engines = [FailingEngine(deployment.record, f"i-desk-{n}", "desk") for n in range(3)]
        for engine in engines:
            await deployment.add_engine(engine)
        await asyncio.sleep(4)
        engines[0].fails = has_trouble
        started_at = time.monotonic()
        promised = []
        for number in range(ORDERS):
            promised += await place_order(deployment, number)
        deployment.record.write("engine failed for", s=round(time.monotonic() - started_at, 1))
        run = [it for it in promised if any(it in engine.runs for engine in engines)]
        deployment.record.write("result", promised_not_run=promised, that_ran=run)
        print(f"{ORDERS} orders, {len(promised)} attempts answered as not run, {len(run)} had run")
        return not run
    finally:
        await deployment.close()


stand_ins.run_case(case)
