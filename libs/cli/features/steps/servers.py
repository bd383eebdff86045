"""Fake servers for a balancer and for the platform."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer

import pynng

RECEIVE_TIMEOUT_MS = 50


@contextmanager
def balancer(answer):
    """Answer every query with the same bytes; yield the address and the queries."""
    queries = []
    with (
        pynng.Rep0(recv_timeout=RECEIVE_TIMEOUT_MS) as rep,
        ThreadPoolExecutor(1) as pool,
    ):
        listener = rep.listen("tcp://127.0.0.1:0")
        running = [True]
        pool.submit(answer_queries, rep, answer, queries, running)
        try:
            yield str(listener.local_address), queries
        finally:
            running.clear()


def answer_queries(rep, answer, queries, running):
    """Answer until ``running`` is empty."""
    while running:
        try:
            queries.append(json.loads(rep.recv()))
        except pynng.Timeout:
            continue
        rep.send(answer)


@contextmanager
def platform(document):
    """Publish one document; yield the platform's URL."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            found = self.path == "/v1/template"
            self.send_response(200 if found else 404)
            self.end_headers()
            self.wfile.write(document if found else b"")

        def log_message(self, *args):
            pass

    with HTTPServer(("127.0.0.1", 0), Handler) as server, ThreadPoolExecutor(1) as pool:
        pool.submit(server.serve_forever, 0.01)
        try:
            yield f"http://127.0.0.1:{server.server_port}"
        finally:
            server.shutdown()


def closed_address():
    """Return an address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
