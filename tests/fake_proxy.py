"""Proxy for tests of the client: answers from a script, on loopback."""

import contextlib
import http.server
import threading

import msgspec

DROP = "drop"  # Closes the connection instead of answering.


class FakeProxy:
    """Answers requests in order from ``script``; then from ``default``.

    An entry is ``DROP`` or ``(status, answer, close)``, or a function of the body
    that returns the latter; ``requests`` collects
    ``(path, body)``.
    """

    def __init__(self, script=(), default=(200, {}, False)):
        self.script = list(script)
        self.default = default
        self.requests = []
        fake = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802
                length = int(self.headers["Content-Length"])
                body = msgspec.json.decode(self.rfile.read(length))
                fake.requests.append((self.path, body))
                entry = fake.script.pop(0) if fake.script else fake.default
                if entry is DROP:
                    self.close_connection = True
                    return
                self.send(*(entry(body) if callable(entry) else entry))

            def send(self, status, answer, close):
                content = msgspec.json.encode(answer)
                self.send_response(status)
                self.send_header("Content-Length", str(len(content)))
                if close:
                    self.send_header("Connection", "close")
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, *args):
                pass

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = self._server.server_address
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.01,), daemon=True
        )
        self._thread.start()

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


def problem(error, session=None):
    """Return the script entry of an error."""
    fields = error.to_problem()
    if session is not None:
        fields["session"] = session
    return (error.http_status, fields, False)


@contextlib.contextmanager
def proxies(*scripts):
    """Yield running proxies."""
    running = [FakeProxy(script) for script in scripts]
    try:
        yield running
    finally:
        for proxy in running:
            proxy.close()
