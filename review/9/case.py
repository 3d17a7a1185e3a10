"""A new version of the configuration adds a route with `sizes`."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))
import platform2 as platform  # noqa: E402

SIZES = ['m0', 'm1', 'm2']
REQUESTS = 40
PAUSE_S = 0.1
APPLY_S = platform.BOUNDS['config-apply-ms'] / 1000
# Twice the time within which a stable system is steady again.
STEADY_S = 2 * platform.BOUNDS['contact-ms'] / 1000
GENERATION = {
    'Model': '*', 'Token_Count': '100,10', 'Prompt_Prefix': 'aa:50,bb:50',
}


async def ask(router, path, prefix, record):
    """Send requests one after the other; return how many were served."""
    served = 0
    for number in range(REQUESTS):
        name = f'{prefix}-{number}'
        answer = await platform.ask(router.front, path, name, **GENERATION)
        served += answer.status == 200 and answer.complete
        record.add('client', name, answer.status)
        await asyncio.sleep(PAUSE_S)
    return served


async def case(record, trouble, scratch, routers):
    events = ''.join(f'id: {n}\ndata: piece {n}\n\n' for n in range(1, 5))

    async def generate(_headers, path):
        if path.startswith('/chat/'):
            kind = {'Content-Type': 'text/event-stream', 'Confidence': '90'}
            return 200, kind, events.encode()
        return 200, {'Confidence': '90'}, b'a summary'

    store = platform.Store()
    await store.start()
    documents = {}
    workers = [
        platform.Worker(f'w{number}', record, generate, SIZES)
        for number in range(4)
    ]
    for worker in workers:
        await worker.start()
        documents[f'servers/{worker.name}'] = platform.worker_entry(
            'guide', worker.port
        )
    chat = platform.route(
        'chat', 'streaming', 'guide', sizes=SIZES, resumable=True, sticky=True
    )
    documents['op/config'] = platform.configuration(7, [chat], ['guide'])
    store.put(documents)
    router = platform.Router('front-1', scratch, store.port)
    routers.append(router)
    router.start()
    await router.wait_ready()
    before = await ask(router, '/chat/x', 'chat-before', record)
    added = platform.route(
        'summary', 'idempotent', 'guide', sizes=SIZES, sticky=True
    )
    record.say(f'on the first route {before} of {REQUESTS} are served')
    new = 0
    if trouble:
        store.put(
            {'op/config': platform.configuration(9, [chat, added], ['guide'])}
        )
        record.say('version 9 adds the route summary, with sizes')
        await asyncio.sleep(APPLY_S + 0.5)
        new = await ask(router, '/summary/x', 'summary', record)
        record.say(f'on the added route {new} of {REQUESTS} are served')
    await asyncio.sleep(STEADY_S)
    after = await ask(router, '/chat/x', 'chat-after', record)
    record.say(f'on the first route {after} of {REQUESTS} are served then')
    unavailable = [
        worker.name for worker in workers
        if not any(name.startswith('chat-after') for name in worker.runs)
    ]
    record.say('workers that got no request then:', *unavailable)
    share = (before + after) / (2 * REQUESTS)
    return trouble and new / REQUESTS < share / 4


if __name__ == '__main__':
    platform.run_case(case, FOLDER)
