"""Stand-in server that announces itself, for demonstrations and tests.

It answers any path with a description of the request, counts executions by
method, path and idempotency key, and reports its load. Query parameters change
its behaviour:

- `sleep_ms`: waits before it answers.
- `status`: answers with this status.
- `bytes`: answers with a body of this size.
- `echo`: answers a POST with the body received.
- `crash`: exits, if the value is the server's name or `all`.
- `shed`: answers 503 with `Retry-After`, if the value is its name or `all`.
- `crash_midway`: exits in the middle of the answer, if the value is the
  server's name or `all`.
- `cut`: closes the connection before the answer is complete.
- `stall`: never answers and keeps the slot.
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

# Enough to send the first part of an answer.
CRASH_DELAY_S = 0.05


class StandInResource(resource.Resource):
    """Handles the requests for all paths."""

    isLeaf = True

    def __init__(self, name: str, slots: int, log_path: str):
        super().__init__()
        self.name = name
        self.slots = slots
        self.running = 0
        self.log_path = log_path
        self.executions = collections.Counter()
        self.queue = collections.deque()

    def render(self, request):
        """Executes a request, or queues it while all slots are busy."""
        if request.path == b"/healthz":
            self._set_load_report(request)
            return b"ok"
        if request.path == b"/executions":
            return json.dumps(self.executions).encode()
        query = urllib.parse.parse_qs(request.uri.partition(b"?")[2].decode())
        body = request.content.read()
        request_id = request.getHeader(b"Gentianwall-Request-Id")
        if request_id:
            request.setHeader(b"Gentianwall-Request-Id", request_id)
        if self._refuse_if_requested(request, query):
            return server.NOT_DONE_YET
        if self.running >= self.slots:
            self.queue.append((request, query, body))
        else:
            self._execute(request, query, body)
        return server.NOT_DONE_YET

    def _refuse_if_requested(self, request, query) -> bool:
        if "shed" in query and query["shed"][0] in (self.name, "all"):
            request.setResponseCode(503)
            request.setHeader(b"Retry-After", b"1")
            request.finish()
            return True
        return False

    def _execute(self, request, query, body) -> None:
        self.running += 1
        self._record_execution(request, body)
        if "crash" in query and query["crash"][0] in (self.name, "all"):
            os._exit(3)
        if "stall" in query:
            return
        sleep_ms = float(query.get("sleep_ms", ["0"])[0])
        reactor.callLater(sleep_ms / 1000, self._finish, request, query, body)

    def _record_execution(self, request, body) -> None:
        key = request.getHeader("Idempotency-Key") or ""
        name = f"{request.method.decode()} {request.path.decode()} {key}"
        self.executions[name] += 1
        if self.log_path:
            with open(self.log_path, "a", encoding="utf-8") as log:
                log.write(f"{self.name}\t{name}\t{time.time():.4f}\n")

    def _finish(self, request, query, body) -> None:
        self.running -= 1
        if self.queue:
            self._execute(*self.queue.popleft())
        if request._disconnected:
            return
        is_crashing = query.get("crash_midway", [""])[0] in (self.name, "all")
        if "cut" in query or is_crashing:
            request.setHeader(b"Content-Length", b"1000")
            request.write(b"only a part")
            if is_crashing:
                reactor.callLater(CRASH_DELAY_S, os._exit, 3)
            else:
                request.transport.loseConnection()
            return
        request.setResponseCode(int(query.get("status", ["200"])[0]))
        self._set_load_report(request)
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

    def _set_load_report(self, request) -> None:
        load = self.running + len(self.queue)
        report = (
            f"TEXT application_utilization={load / self.slots:.3f}, "
            f"named_metrics.requests_in_flight={load}"
        )
        request.setHeader(b"endpoint-load-metrics", report.encode())


class Announcer:
    """Announces the server to the entries in round-robin order."""

    def __init__(self, options, port: int):
        self.options = options
        self.port = port
        self.entries = options.entries.split(",")
        self.entry_index = 0
        self.incarnation = time.time_ns() // 1000
        self.sequence = 0
        self.state = "up"

    def announce_repeatedly(self) -> None:
        """Announces the server now and after each heartbeat interval."""
        threads.deferToThread(self.announce)
        reactor.callLater(
            self.options.heartbeat_ms / 1000, self.announce_repeatedly
        )

    def announce(self, method: str = "PUT") -> None:
        """Sends one announcement; on failure, tries the next entry.

        Args:
            method: `PUT` to register or renew, `DELETE` to deregister.
        """
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
            self.entry_index += 1
            entry = self.entries[self.entry_index % len(self.entries)]
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

    def deregister_and_stop(self, *_) -> None:
        """Announces that the server drains, deregisters it and stops."""
        self.state = "draining"
        self.announce()
        self.announce("DELETE")
        reactor.callFromThread(reactor.callLater, 0.3, reactor.stop)


def main() -> None:
    """Parses the options and runs the server."""
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
    site = server.Site(
        StandInResource(options.name, options.slots, options.log_path)
    )
    site.noisy = False
    listener = reactor.listenTCP(options.port, site, interface="127.0.0.1")
    port = options.announced_port or listener.getHost().port
    announcer = Announcer(options, port)
    signal.signal(signal.SIGTERM, announcer.deregister_and_stop)
    signal.signal(signal.SIGINT, announcer.deregister_and_stop)
    reactor.callLater(0, announcer.announce_repeatedly)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
