"""A listener with a certificate must refuse plain HTTP."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import trustme

from cornelturn.http.routes import add_health_routes, new_application
from cornelturn.http.server import HttpServer, TlsFiles

REQUEST = b"GET /healthz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"


async def test_listener_with_certificate_accepts_only_tls(tmp_path: Path) -> None:
    authority = trustme.CA()
    issued_certificate = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "certificate.pem", tmp_path / "key.pem"
    issued_certificate.cert_chain_pems[0].write_to_path(certificate)
    issued_certificate.private_key_pem.write_to_path(key)
    app = new_application()
    add_health_routes(app, lambda: True)
    files = TlsFiles(str(certificate), str(key))
    server = HttpServer(app, "127.0.0.1", 0, files)
    port = await server.start()
    context = ssl.create_default_context()
    authority.configure_trust(context)
    encrypted = await request_health(port, context)
    plain = await request_health(port, None)
    await server.stop()
    assert encrypted.startswith(b"HTTP/1.1 200")
    assert not plain.startswith(b"HTTP/1.1 200")


async def request_health(port: int, context: ssl.SSLContext | None) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    writer.write(REQUEST)
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()
