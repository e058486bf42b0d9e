"""A request that crashes each server that begins to run it.

PROTOCOL.md: "A request may crash each server that begins to run it; the server
is back after some seconds. Such a request comes again, with the same path,
caller and body, at any machine."
"""

import asyncio
import signal
import time

from . import clients, deployment, instances, servers

SERVER_COUNT = 12
BACK_AFTER_S = 3
WORK_MS = 100
DEADLINE_MS = 1500
STABILITY_WINDOW_S = 3
GRACE_S = 6
MIN_CRASHES = 3
MAX_RETRIES = 3
CRASHING_PATH = '/lookup/crashes'
DRAIN_S = 2
RELEASE_GAP_S = 1


class Play:
    """Servers, a client of the crashing request and ordinary clients.

    ``resets`` says how the connections of a crashed server end. Without
    ``crashes`` the request is an ordinary one. It crashes servers from
    ``crashing_version`` of their software on.
    """

    def __init__(
        self,
        deployed: deployment.Deployment,
        *,
        crashes: bool,
        resets: bool,
        crashing_version: int = 1,
    ) -> None:
        """Start without crashes."""
        self.deployed = deployed
        self.crashes = crashes
        self.resets = resets
        self.crashing_version = crashing_version
        self.crashes_s: list[float] = []
        self.tasks: list[asyncio.Task] = []
        self._crashed_ids: set[str] = set()
        self._instance_by_request: dict[str, str] = {}
        self._away_spans: dict[str, list[list[float]]] = {}

    async def start(self, instance_count: int) -> None:
        """Start the deployment and its ordinary clients."""
        deployed = self.deployed
        await deployed.start_store()
        for number in range(SERVER_COUNT):
            zone = sorted(deployment.ZONES)[number % 3]
            await deployed.add_server('burza', zone, self._work)
        deployed.configure(
            [
                deployment.route(
                    'lookup', 'idempotent', 'burza', timeout_ms=1500
                )
            ],
            ['burza'],
        )
        await deployed.start_instances(instance_count)
        await asyncio.sleep(STABILITY_WINDOW_S + 1)
        for instance in deployed.instances:
            self.run(self._keep_looking_up(instance))
        await asyncio.sleep(1)

    def run(self, coroutine: object) -> None:
        """Run something beside the case until ``finish``."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def finish(self) -> bool:
        """End the clients; return whether the rule held."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        retries = self._count_retries()
        self.deployed.record.note(
            'retries', counted=retries, crashes=len(self.crashes_s)
        )
        return retries <= MAX_RETRIES

    async def send_crashing(self, instance: instances.Instance) -> None:
        """Send the crashing request to an instance."""
        connection = clients.Connection(instance.front)
        self.deployed.record.note('sends', instance=instance.machine.name)
        before = len(self.deployed.ran)
        answer = await connection.request(
            'GET', deployment.HOST_NAME, CRASHING_PATH, DEADLINE_MS
        )
        connection.close()
        self._instance_by_request[answer.request_id] = instance.machine.name
        self.deployed.record.note(
            'answered',
            request=answer.request_id,
            status=answer.status,
            reason=answer.fields.get('call-reason', ''),
            ran=sum(
                ran.request_id == answer.request_id
                for ran in self.deployed.ran[before:]
            ),
        )

    async def keep_sending(self, interval_s: float) -> None:
        """Send the crashing request to the running instances in turn."""
        while True:
            for instance in self.deployed.instances:
                if instance.is_running():
                    await self.send_crashing(instance)
                    await asyncio.sleep(interval_s)

    async def restart(self, instance: instances.Instance) -> None:
        """Stop and start an instance, as the platform does."""
        name = instance.machine.name
        span = [time.monotonic(), float('inf')]
        self._away_spans.setdefault(name, []).append(span)
        self.deployed.record.note('sigterm', instance=name)
        instance.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + GRACE_S
        while instance.is_running() and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        instance.kill()
        instance.start()
        span[1] = time.monotonic() + STABILITY_WINDOW_S
        self.deployed.record.note('started', instance=name)
        await self.deployed.await_ready(instance)

    async def release(self) -> None:
        """Replace all servers by a new version, one after the other."""
        for old in tuple(self.deployed.servers):
            new = await self.deployed.add_server(
                old.service, old.zone, self._work, version=old.version + 1
            )
            self.deployed.record.note(
                'replaced', old=old.server_id, new=new.server_id
            )
            self.run(old.drain(DRAIN_S + 1))
            await asyncio.sleep(RELEASE_GAP_S)

    async def _work(self, server: servers.Server, request) -> tuple[int, bytes]:
        await asyncio.sleep(WORK_MS / 1000)
        is_crashing = (
            self.crashes
            and CRASHING_PATH in request.first
            and server.version >= self.crashing_version
        )
        if not is_crashing:
            return 200, b'found'
        self.crashes_s.append(time.monotonic())
        self._crashed_ids.add(server.server_id)
        self.deployed.record.note('crashed', server=server.server_id)
        server.crash(resets=self.resets)
        self.run(self._bring_back(server))
        raise ConnectionError('the server has ended')

    async def _bring_back(self, server: servers.Server) -> None:
        expiry = asyncio.create_task(server.expire(server.server_id))
        await asyncio.sleep(BACK_AFTER_S)
        await server.start()
        await expiry

    async def _keep_looking_up(self, instance: instances.Instance) -> None:
        connection = clients.Connection(instance.front)
        count = 0
        while True:
            count += 1
            await connection.request(
                'GET', deployment.HOST_NAME, f'/lookup/{count}', DEADLINE_MS
            )
            await asyncio.sleep(0.2)

    def _count_retries(self) -> int:
        """Return how many retries the rule counts.

        Those are the arrivals at servers that it crashed, later than the
        stability window after the third crash, sent by instances in touch.
        """
        if len(self.crashes_s) < MIN_CRASHES:
            return 0
        from_s = self.crashes_s[MIN_CRASHES - 1] + STABILITY_WINDOW_S
        counted = [
            ran
            for ran in self.deployed.ran
            if CRASHING_PATH in ran.line
            and ran.server_id in self._crashed_ids
            and ran.at_s > from_s
            and self._is_in_touch(ran)
        ]
        for ran in counted:
            self.deployed.record.note(
                'counted', request=ran.request_id, server=ran.server_id
            )
        return len(counted)

    def _is_in_touch(self, ran: servers.Ran) -> bool:
        name = self._instance_by_request.get(ran.request_id, '')
        return not any(
            start_s <= ran.at_s <= end_s
            for start_s, end_s in self._away_spans.get(name, [])
        )
