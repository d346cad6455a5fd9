"""A small server that announces itself; for first tries and tests.

It answers any path with what it received, counts executions by request path
and body, reports its load and can be told to misbehave by query parameters:
`sleep_ms`, `status`, `bytes`, `crash`, `cut`, `stall` and `shed`.
"""

from __future__ import annotations

import argparse
import collections
import json
import os
import signal
import time
import urllib.parse
import urllib.request

from twisted.internet import reactor, threads
from twisted.web import resource, server


class StandIn(resource.Resource):
    """Answers everything."""

    isLeaf = True

    def __init__(self, name: str, slots: int, log_path: str):
        super().__init__()
        self.name = name
        self.slots = slots
        self.running = 0
        self.log_path = log_path
        self.executions = collections.Counter()
        self.waiting = collections.deque()

    def render(self, request):
        """Queues a request for one of the slots."""
        if request.path == b"/healthz":
            self._report(request)
            return b"ok"
        if request.path == b"/executions":
            return json.dumps(self.executions).encode()
        query = urllib.parse.parse_qs(request.uri.partition(b"?")[2].decode())
        body = request.content.read()
        request_id = request.getHeader(b"Gentianwall-Request-Id")
        if request_id:
            request.setHeader(b"Gentianwall-Request-Id", request_id)
        if self._misbehaves_early(request, query):
            return server.NOT_DONE_YET
        if self.running >= self.slots:
            self.waiting.append((request, query, body))
        else:
            self._run(request, query, body)
        return server.NOT_DONE_YET

    def _misbehaves_early(self, request, query) -> bool:
        if "shed" in query and query["shed"][0] in (self.name, "all"):
            request.setResponseCode(503)
            request.setHeader(b"Retry-After", b"1")
            request.finish()
            return True
        return False

    def _run(self, request, query, body) -> None:
        self.running += 1
        self._count(request, body)
        if "crash" in query and query["crash"][0] in (self.name, "all"):
            os._exit(3)
        if "stall" in query:
            return
        sleep_ms = float(query.get("sleep_ms", ["0"])[0])
        reactor.callLater(sleep_ms / 1000, self._end, request, query, body)

    def _count(self, request, body) -> None:
        key = request.getHeader("Idempotency-Key") or ""
        name = f"{request.method.decode()} {request.path.decode()} {key}"
        self.executions[name] += 1
        if self.log_path:
            with open(self.log_path, "a", encoding="utf-8") as log:
                log.write(f"{self.name}\t{name}\t{time.time():.4f}\n")

    def _end(self, request, query, body) -> None:
        self.running -= 1
        if self.waiting:
            self._run(*self.waiting.popleft())
        if request._disconnected:
            return
        if "cut" in query:
            request.setHeader(b"Content-Length", b"1000")
            request.write(b"only a part")
            request.transport.loseConnection()
            return
        request.setResponseCode(int(query.get("status", ["200"])[0]))
        self._report(request)
        if "bytes" in query:
            answer = b"x" * int(query["bytes"][0])
        elif request.method == b"POST" and "echo" in query:
            answer = body
        else:
            content = {
                "server": self.name,
                "path": request.path.decode(),
                "method": request.method.decode(),
                "body_bytes": len(body),
                "attempt": request.getHeader("Gentianwall-Attempt"),
                "deadline_ms": request.getHeader("Gentianwall-Deadline-Ms"),
            }
            answer = json.dumps(content).encode()
        request.setHeader(b"Content-Length", b"%d" % len(answer))
        if request.method != b"HEAD":
            request.write(answer)
        request.finish()

    def _report(self, request) -> None:
        load = self.running + len(self.waiting)
        report = (
            f"TEXT application_utilization={load / self.slots:.3f}, "
            f"named_metrics.requests_in_flight={load}"
        )
        request.setHeader(b"endpoint-load-metrics", report.encode())


class Announcer:
    """Announces the server at any of the entries, in turn."""

    def __init__(self, options, port: int):
        self.options = options
        self.port = port
        self.entries = options.entries.split(",")
        self.turn = 0
        self.incarnation = time.time_ns() // 1000
        self.sequence = 0
        self.state = "up"

    def repeat(self) -> None:
        """Announces now and again."""
        threads.deferToThread(self.announce)
        reactor.callLater(self.options.heartbeat_ms / 1000, self.repeat)

    def announce(self, method: str = "PUT") -> None:
        """Sends one announcement; a failed one is tried at the next entry."""
        self.sequence += 1
        content = {
            "sequence": self.sequence,
            "address": "127.0.0.1",
            "port": self.port,
            "slots": self.options.slots,
            "failure_domain": self.options.failure_domain,
            "incarnation": self.incarnation,
            "state": self.state,
        }
        for _ in self.entries:
            self.turn += 1
            entry = self.entries[self.turn % len(self.entries)]
            url = (
                f"http://{entry}/gentianwall/v1/services/"
                f"{self.options.service}/servers/{self.options.name}"
            )
            request = urllib.request.Request(
                url, json.dumps(content).encode(), method=method
            )
            if self.options.token:
                request.add_header(
                    "Authorization", f"Bearer {self.options.token}"
                )
            try:
                with urllib.request.urlopen(request, timeout=1):
                    return
            except OSError:
                continue

    def leave(self, *_) -> None:
        """Drains, leaves and ends."""
        self.state = "draining"
        self.announce()
        self.announce("DELETE")
        reactor.callFromThread(reactor.callLater, 0.3, reactor.stop)


def main() -> None:
    """Parses the options and serves."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", default="die-ledger")
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--announced-port", type=int, default=0)
    parser.add_argument("--failure-domain", default="local")
    parser.add_argument("--entries", default="127.0.0.1:8080")
    parser.add_argument("--heartbeat-ms", type=float, default=600)
    parser.add_argument("--log-path", default="")
    parser.add_argument("--token", default="")
    options = parser.parse_args()
    site = server.Site(StandIn(options.name, options.slots, options.log_path))
    site.noisy = False
    listener = reactor.listenTCP(options.port, site, interface="127.0.0.1")
    port = options.announced_port or listener.getHost().port
    announcer = Announcer(options, port)
    signal.signal(signal.SIGTERM, announcer.leave)
    signal.signal(signal.SIGINT, announcer.leave)
    reactor.callLater(0, announcer.repeat)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
