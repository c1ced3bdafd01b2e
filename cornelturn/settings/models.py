"""Validated models of the settings file of an entry."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024
DEFAULT_MAX_DEADLINE_MS = 24 * 3_600_000
DEFAULT_DRAIN_LIMIT_MS = 600_000
DEFAULT_RETENTION_MS = 24 * 3_600_000

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$", strict=True)
]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$", strict=True)]
InnerAddress = Annotated[
    str, StringConstraints(pattern=r"^tcp://[0-9.]+:[0-9]{1,5}$", strict=True)
]
HttpUrl = Annotated[str, StringConstraints(pattern=r"^https?://[^/\s]+$", strict=True)]
Host = Annotated[str, StringConstraints(pattern=r"^[0-9.]+$", strict=True)]
Port = Annotated[int, Field(ge=0, le=65535)]


class StrictModel(BaseModel):
    """Base of all models: unknown fields are errors, instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsSettings(StrictModel):
    """Certificate and key files of a listener."""

    certificate: str
    key: str


class ListenerSettings(StrictModel):
    """Address of an HTTP listener; the host is an IP address."""

    host: Host = "127.0.0.1"
    port: Port = 0
    tls: TlsSettings | None = None


class OperatorsSettings(ListenerSettings):
    """Listener for operators, with the SHA-256 of their token."""

    token_sha256: Sha256


class PeerSettings(StrictModel):
    """Another entry, and the address at which it is first contacted."""

    name: Name
    address: InnerAddress


class InnerSettings(StrictModel):
    """Inner protocol: own address, shared key in hex, peers to contact first."""

    address: InnerAddress = "tcp://127.0.0.1:0"
    key: Annotated[
        str,
        StringConstraints(
            pattern=r"^([0-9a-f]{2})+$",
            min_length=2 * MIN_KEY_BYTES,
            max_length=2 * MAX_KEY_BYTES,
        ),
    ]
    peers: tuple[PeerSettings, ...] = ()


class PlatformSettings(StrictModel):
    """Base URLs of the platform's services."""

    table: HttpUrl
    objects: HttpUrl
    instances: HttpUrl


class MemberSettings(StrictModel):
    """A member and the SHA-256 of its token."""

    name: Name
    token_sha256: Sha256


class LimitSettings(StrictModel):
    """Limits of the callers' API, and resources of the machine of the entry."""

    max_body_bytes: Annotated[int, Field(gt=0)] = DEFAULT_MAX_BODY_BYTES
    max_deadline_ms: Annotated[int, Field(gt=0)] = DEFAULT_MAX_DEADLINE_MS
    drain_limit_ms: Annotated[int, Field(ge=0)] = DEFAULT_DRAIN_LIMIT_MS
    retention_ms: Annotated[int, Field(gt=0)] = DEFAULT_RETENTION_MS
    balancer_notice_ms: Annotated[int, Field(ge=0)] = 0
    max_header_bytes: Annotated[int, Field(gt=0)] = 16_384
    header_timeout_ms: Annotated[int, Field(gt=0)] = 3_000
    idle_timeout_ms: Annotated[int, Field(gt=0)] = 15_000
    memory_mb: Annotated[int, Field(gt=0)] = 552
    max_fds: Annotated[int, Field(gt=0)] = 4_100


class EntrySettings(StrictModel):
    """Settings of an entry process."""

    name: Name
    data_centre: Name
    callers: ListenerSettings = ListenerSettings()
    operators: OperatorsSettings
    inner: InnerSettings
    platform: PlatformSettings
    members: tuple[MemberSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    configuration_file: str | None = None
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
