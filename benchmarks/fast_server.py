"""Server that answers immediately, for latency measurements of proxies."""

from __future__ import annotations

import sys

from twisted.internet import epollreactor

epollreactor.install()

from twisted.internet import reactor  # noqa: E402
from twisted.web import http  # noqa: E402


class FastRequest(http.Request):
    """Request that is answered with 100 bytes and a load report."""

    def process(self):
        """Sends the answer."""
        body = b"ok" * 50
        self.setHeader(b"Content-Length", b"%d" % len(body))
        self.setHeader(
            b"endpoint-load-metrics",
            b"TEXT application_utilization=0.5, "
            b"named_metrics.requests_in_flight=1",
        )
        request_id = self.getHeader(b"Gentianwall-Request-Id")
        if request_id:
            self.setHeader(b"Gentianwall-Request-Id", request_id)
        self.write(body)
        self.finish()


def main() -> None:
    """Listens on the port of the first argument."""
    factory = http.HTTPFactory()
    factory.log = lambda request: None
    factory.protocol = http.HTTPChannel
    http.HTTPChannel.requestFactory = FastRequest
    reactor.listenTCP(int(sys.argv[1]), factory, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
