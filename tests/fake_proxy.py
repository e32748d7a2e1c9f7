"""HTTP server that stands in for a proxy in client tests, with scripted answers."""

import contextlib
import http.server
import threading

import msgspec

DROP = "drop"  # Closes the connection instead of answering.


class FakeProxy:
    """HTTP server on a loopback port that answers from a script and records requests.

    Parameters
    ----------
    script : sequence
        Entries in the order of the requests. An entry is ``DROP``, a tuple
        ``(status, answer, close)``, or a function that returns such a tuple for the
        decoded body of the request.
    default : tuple or callable
        Entry for all requests after the end of the script.

    Attributes
    ----------
    address : tuple of (str, int)
    requests : list of (str, dict)
        Path and decoded body of each request.
    """

    def __init__(self, script=(), default=(200, {}, False)):
        self.script = list(script)
        self.default = default
        self.requests = []
        fake_proxy = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802
                length = int(self.headers["Content-Length"])
                body = msgspec.json.decode(self.rfile.read(length))
                fake_proxy.requests.append((self.path, body))
                entry = (
                    fake_proxy.script.pop(0)
                    if fake_proxy.script
                    else fake_proxy.default
                )
                if entry is DROP:
                    self.close_connection = True
                    return
                self.send_answer(*(entry(body) if callable(entry) else entry))

            def send_answer(self, status, answer, close):
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


def error_entry(error, session=None):
    """Return the script entry that answers with an error and a session token."""
    problem = error.to_problem()
    if session is not None:
        problem["session"] = session
    return (error.http_status, problem, False)


@contextlib.contextmanager
def running_proxies(*scripts):
    """Yield a list of running fake proxies, one for each script."""
    fake_proxies = [FakeProxy(script) for script in scripts]
    try:
        yield fake_proxies
    finally:
        for proxy in fake_proxies:
            proxy.close()
