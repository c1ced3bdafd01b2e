"""A listener with a certificate must refuse plain HTTP."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import pytest
import trustme
from blacksheep import Application
from prometheus_client import CollectorRegistry, Counter

from cornelturn.http.connection_guard import ConnectionGuard
from cornelturn.http.process_budget import derive_limits
from cornelturn.http.routes import add_health_routes, new_application
from cornelturn.http.server import HttpServer, TlsFiles
from cornelturn.model.routes import CallerLimits

PIPELINED = b"GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n"
REQUEST = b"GET /healthz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"


@pytest.fixture
def authority() -> trustme.CA:
    """Return a certificate authority."""
    return trustme.CA()


@pytest.fixture
def files(tmp_path: Path, authority: trustme.CA) -> TlsFiles:
    """Return the files of a certificate for the loopback address."""
    issued_certificate = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "certificate.pem", tmp_path / "key.pem"
    issued_certificate.cert_chain_pems[0].write_to_path(certificate)
    issued_certificate.private_key_pem.write_to_path(key)
    return TlsFiles(str(certificate), str(key))


@pytest.fixture
def app() -> Application:
    """Return an application with a health route."""
    app = new_application()
    add_health_routes(app, lambda: True)
    return app


async def test_listener_with_certificate_accepts_only_tls(
    authority: trustme.CA, files: TlsFiles, app: Application
) -> None:
    server = HttpServer(app, "127.0.0.1", 0, files)
    port = await server.start()
    context = ssl.create_default_context()
    authority.configure_trust(context)
    encrypted = await request_health(port, context)
    plain = await request_health(port, None)
    await server.stop()
    assert encrypted.startswith(b"HTTP/1.1 200")
    assert not plain.startswith(b"HTTP/1.1 200")


async def test_guarded_listener_with_certificate_answers_and_refuses(
    authority: trustme.CA, files: TlsFiles, app: Application
) -> None:
    """Guards against limits that hold only without encryption."""
    counter = Counter("refused", "help", ["cause"], registry=CollectorRegistry())
    guard = ConnectionGuard(derive_limits(200, 4_100), CallerLimits, counter)
    server = HttpServer(app, "127.0.0.1", 0, files, guard)
    port = await server.start()
    context = ssl.create_default_context()
    authority.configure_trust(context)
    pipelined = PIPELINED * 300 + REQUEST
    answers = await request_health(port, context, pipelined)
    refusal = await request_health(port, context, PIPELINED[:-2] + b"x" * 20_000)
    await server.stop()
    assert answers.count(b"HTTP/1.1 200") == 301
    assert refusal.startswith(b"HTTP/1.1 431")
    assert guard.budget.held_bytes == 0


async def request_health(
    port: int, context: ssl.SSLContext | None, data: bytes = REQUEST
) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    writer.write(data)
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()
