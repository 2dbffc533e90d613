"""An entry of another writer lacks the rank of its group; the ranks then use different maps."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

RANKS = 8
TRAFFIC_S = 45
OTHER_WRITERS_KEY = "i-of-another-writer"


async def ask_for_streams(deployment, number):
    """One client that asks for one stream after the other."""
    sent = 0
    while True:
        sent += 1
        request_id = f"client-{number}-{sent}"
        headers = [
            ("Medlaryoke-Request-Id", request_id),
            ("Medlaryoke-Deadline-Ms", "8000"),
            ("Medlaryoke-Model", "m"),
            ("Medlaryoke-Token-Usage", "700,150"),
            ("Medlaryoke-Prompt-Prefix", f"aa01:40,{number:x}{sent:06x}:660"),
        ]
        deployment.record.write("sent", id=request_id)
        try:
            front = deployment.front(number % len(deployment.gateway_ips))
            answer = await stand_ins.call(front, "POST", "/stream/1", headers, b"prompt")
            deployment.record.write("answered", id=request_id, status=answer.status)
        except (OSError, EOFError, TimeoutError) as e:
            deployment.record.write("not answered", id=request_id, reason=repr(e))
            await asyncio.sleep(0.2)


async def shift_experts(group):
    """Other experts are in demand from time to time."""
    while True:
        await asyncio.sleep(5)
        group.hot += 1


def entry_without_rank(rank):
    """The entry of a running engine, written under another key and without the rank."""
    entry = rank.entry()
    del entry["group"]["rank"]
    return entry


async def case(has_trouble):
    deployment = stand_ins.Deployment(FOLDER, gateways=2, ranks=RANKS)
    group = deployment.group
    try:
        routes = [stand_ins.route("stream", "model", "streaming", resumable=True, targetGapMs=120)]
        await deployment.start(stand_ins.configuration(1, routes, group))
        for number in range(6):
            task = ask_for_streams(deployment, number)
            deployment.tasks.append(asyncio.create_task(task))
        deployment.tasks.append(asyncio.create_task(shift_experts(group)))
        await asyncio.sleep(8)
        if has_trouble:
            entry = entry_without_rank(group.ranks[RANKS - 1])
            deployment.record.write("entry of another writer", key=OTHER_WRITERS_KEY, entry=entry)
            value = json.dumps(entry).encode()
            await deployment.store.put("keyed.servers", OTHER_WRITERS_KEY, value)
        await asyncio.sleep(TRAFFIC_S - 8)
        result = {"switches": group.switches, "passes": group.step, "split": group.split_steps[:5]}
        deployment.record.write("result", **result)
        print(f"{group.switches} switches in {group.step} passes")
        print(f"passes that began with different maps: {len(group.split_steps)}")
        if group.switches == 0:
            raise RuntimeError("no switch of maps took place")
        return not group.split_steps
    finally:
        await deployment.close()


stand_ins.run_case(case)
