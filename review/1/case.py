"""Second answers that come late, and answers that have no length."""

from __future__ import annotations

import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "die-ledger"
HOST = "dies.example"
BACKENDS = 5
# garble, `extra late`: for 5 s, three in a hundred answers of 0.6 of the
# backends are sent once more. That comes four times.
FAULTY_BACKENDS = 3
EXTRA_SHARE = 0.03
FAULTY_S = 5.0
TIMES = 4
PAUSE_S = 5.0
LIST_BYTES = 9_000
PER_S = 100.0


class Answers:
    """Sends the answers of all backends and keeps what was sent.

    A list (`/dies/list/...`) has no length and ends with its connection. Any
    other answer has a length; some are sent once more, late: at the point where
    the next answer on the connection is expected.

    Attributes:
        bodies: The whole body of the answer to each request, by its path.
        extra_count: Second answers so far.
        faulty: Names of the backends that send second answers now.
    """

    def __init__(self):
        self.bodies: dict[str, set[bytes]] = {}
        self.extra_count = 0
        self.faulty: set[str] = set()
        self._late: dict[object, bytes] = {}

    def send(self, backend, connection, path, body, headers) -> bool:
        """Sends an answer; returns whether the connection stays open."""
        is_list = path.startswith("/dies/list/")
        if is_list:
            body = body.ljust(LIST_BYTES, b".")
        self.bodies.setdefault(path, set()).add(body)
        answer = backend.answer(200, body, headers, not is_list)
        extra = self._late.pop(connection, b"")
        if extra:
            self.extra_count += 1
            backend.record.add(
                backend.name, "sends a second answer before", path=path
            )
        connection.sendall(extra + answer)
        if is_list:
            return False
        is_faulty = backend.name in self.faulty
        if is_faulty and random.random() < EXTRA_SHARE:
            self._late[connection] = answer
        return True


def case() -> bool:
    """Returns whether each success had the whole body of its backend."""
    with standins.running_system(FOLDER) as system:
        record = system.record
        answers = Answers()
        backends = [
            standins.Backend(system, f"i-{n}", SERVICE, n)
            for n in range(1, BACKENDS + 1)
        ]
        routes = [standins.route(HOST, "/dies/", "safe", SERVICE)]
        body = standins.desired_state(1, routes, [SERVICE])
        if standins.Operator(system).replace(1, body) is None:
            raise standins.NotRunError("the first desired state has no ack")
        for backend in backends:
            backend.send = answers.send
            backend.start()
        for entry in system.entries:
            standins.wait_until(
                "an entry is ready", lambda e=entry: system.is_ready(e)
            )
        time.sleep(2.0)
        clients = standins.Clients(
            system, "read", "GET", HOST, _path, PER_S, 1200
        )
        clients.start()
        for _ in range(TIMES):
            time.sleep(PAUSE_S)
            if standins.is_trouble():
                drawn = random.sample(backends, FAULTY_BACKENDS)
                answers.faulty = {backend.name for backend in drawn}
                record.add("backends", "faulty", names=sorted(answers.faulty))
            time.sleep(FAULTY_S)
            answers.faulty = set()
        clients.stop()
        time.sleep(2.0)
        wrong = 0
        for _, request_id, status in clients.answers:
            path = _path(int(request_id.split("-")[1]))
            if status != 200:
                continue
            content = clients.bodies[request_id]
            if content not in answers.bodies.get(path, ()):
                wrong += 1
                record.add(
                    "check",
                    "a success without the whole body",
                    id=request_id,
                    bytes=len(content),
                )
        record.add("check", "second answers", count=answers.extra_count)
        record.add("check", "successes without the whole body", count=wrong)
        return wrong == 0


def _path(number: int) -> str:
    return f"/dies/list/{number}" if number % 4 < 2 else f"/dies/{number}"


standins.run_case(case)
