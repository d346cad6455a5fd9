"""Minimal relay of twisted.web's Site and Agent: baseline for the entry."""

from __future__ import annotations

import sys

from twisted.internet import epollreactor

epollreactor.install()

from twisted.internet import reactor  # noqa: E402
from twisted.web import client, resource, server  # noqa: E402


class Relay(resource.Resource):
    """Forwards each request to the target and its answer to the caller."""

    isLeaf = True

    def __init__(self, port: int):
        super().__init__()
        self.target = b"http://127.0.0.1:%d" % port
        pool = client.HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 256
        self.agent = client.Agent(reactor, pool=pool)

    def render(self, request):
        """Forwards a request and answers with the body received."""
        sent = self.agent.request(request.method, self.target + request.uri)
        sent.addCallback(client.readBody)
        sent.addCallback(lambda body: self._answer(request, body))
        return server.NOT_DONE_YET

    def _answer(self, request, body) -> None:
        if request._disconnected:
            return
        request.setHeader(b"Content-Length", b"%d" % len(body))
        request.write(body)
        request.finish()


def main() -> None:
    """Listens on the port of the first argument, relays to the second."""
    site = server.Site(Relay(int(sys.argv[2])))
    site.log = lambda request: None
    reactor.listenTCP(int(sys.argv[1]), site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
