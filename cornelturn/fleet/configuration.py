"""Task that owns the configuration in force at this entry, and its table rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from cornelturn.events.background import start_background
from cornelturn.events.log import log_event, log_warning
from cornelturn.events.mailbox import Mailbox, answer
from cornelturn.events.metrics import Metrics
from cornelturn.model.configuration import Configuration
from cornelturn.peering.messages import (
    ConfigurationPushed,
    ConfigurationWanted,
    Heartbeat,
    InnerMessage,
)
from cornelturn.store.rows import (
    ABSENT,
    Check,
    Operation,
    Put,
    Row,
    TableConflict,
    TableUnavailable,
)
from cornelturn.store.table import CALL_TIMEOUT_MS, Table

CONFIGURATION_KEY = "configuration"
HISTORY_PREFIX = "preset-history/"
POLL_INTERVAL_S = 1.0
GENERATION_DIGITS = 10


@dataclass(frozen=True, slots=True)
class GenerationConflict:
    """Another change of the configuration was committed first.

    Parameters
    ----------
    expected : int
        Generation on which the operator based the change.
    found : Configuration
        Configuration that was committed instead.
    """

    expected: int
    found: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationUnavailable:
    """The table service did not answer; the change may or may not be committed."""

    detail: str


ProposeError = GenerationConflict | ConfigurationUnavailable
ProposeResult = Result[Configuration, ProposeError]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """A committed change of the configuration."""

    generation: int
    preset: str
    change: str


@dataclass(frozen=True, slots=True)
class ConfigurationProposed:
    """Request of an operator to commit the successor of generation `expected`.

    Parameters
    ----------
    extra : tuple of Operation
        Operations to commit in the same transaction.
    """

    configuration: Configuration
    expected: int
    change: str
    extra: tuple[Operation, ...]
    reply: asyncio.Future[ProposeResult]


@dataclass(frozen=True, slots=True)
class PollDue:
    """Timer: read the configuration from the table."""


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """Message of another entry about configurations."""

    sender: str
    message: ConfigurationPushed | ConfigurationWanted | Heartbeat


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Configuration that was read from the table."""

    configuration: Configuration


ConfigurationMessage = (
    ConfigurationProposed | PollDue | ConfigurationReceived | ConfigurationRead
)


@dataclass(slots=True)
class ConfigurationManager:
    """Adopts configurations of higher generations, from the table and from peers.

    Parameters
    ----------
    on_adopted : callable
        Called with each configuration that comes into force at this entry.
    """

    table: Table
    metrics: Metrics
    send: Callable[[str, InnerMessage], None]
    send_all: Callable[[InnerMessage], None]
    on_adopted: Callable[[Configuration], None]
    mailbox: Mailbox[ConfigurationMessage] = field(default_factory=Mailbox)
    current: Configuration = field(default_factory=Configuration)
    has_read_table: bool = False
    is_confirmed_by_peer: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def propose(
        self,
        configuration: Configuration,
        expected: int,
        change: str,
        extra: tuple[Operation, ...] = (),
    ) -> ProposeResult:
        """Commit a configuration if `expected` is still the current generation."""
        return await self.mailbox.ask(
            lambda reply: ConfigurationProposed(
                configuration, expected, change, extra, reply
            )
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async for message in self.mailbox.messages():
            self._handle(message)

    def _handle(self, message: ConfigurationMessage) -> None:
        match message:
            case ConfigurationProposed():
                start_background(self.tasks, self._handle_proposal(message))
            case PollDue():
                start_background(self.tasks, self._poll())
            case ConfigurationRead(configuration):
                self.has_read_table = True
                self._adopt(configuration, "table")
            case ConfigurationReceived(sender, ConfigurationPushed(configuration)):
                self._adopt(configuration, sender)
            case ConfigurationReceived(sender, ConfigurationWanted(generation)):
                if generation < self.current.generation:
                    self.send(sender, ConfigurationPushed(self.current))
            case ConfigurationReceived(sender, Heartbeat() as heartbeat):
                self._compare_generation(sender, heartbeat)

    def _compare_generation(self, sender: str, heartbeat: Heartbeat) -> None:
        if heartbeat.generation > self.current.generation:
            self.send(sender, ConfigurationWanted(self.current.generation))
        elif heartbeat.generation == self.current.generation:
            self.is_confirmed_by_peer = True

    def _adopt(self, configuration: Configuration, source: str) -> None:
        if configuration.generation <= self.current.generation:
            return
        self.current = configuration
        self.metrics.configuration_generation.set(configuration.generation)
        log_event(
            "configuration_in_force",
            generation=configuration.generation,
            preset=configuration.preset,
            source=source,
        )
        self.on_adopted(configuration)

    async def _handle_proposal(self, proposal: ConfigurationProposed) -> None:
        result = await self._commit(proposal)
        match result:
            case Ok(configuration):
                self._adopt(configuration, "operator")
                self.send_all(ConfigurationPushed(configuration))
            case Err(GenerationConflict(_, found)):
                self._adopt(found, "table")
            case Err(ConfigurationUnavailable(detail)):
                log_warning("configuration_not_confirmed", detail=detail)
        answer(proposal.reply, result)

    async def _commit(self, proposal: ConfigurationProposed) -> ProposeResult:
        match await read_configuration(self.table):
            case Err(error):
                return Err(ConfigurationUnavailable(error.detail))
            case Ok(StoredConfiguration(stored, version)):
                pass
        if stored.generation != proposal.expected:
            return Err(GenerationConflict(proposal.expected, stored))
        configuration = proposal.configuration
        history = HistoryEntry(
            configuration.generation, configuration.preset, proposal.change
        )
        result = await self.table.commit(
            Put(CONFIGURATION_KEY, encode_configuration(configuration), version),
            Put(history_key(configuration.generation), encode_history(history)),
            *proposal.extra,
        )
        match result:
            case Ok(_):
                return Ok(configuration)
            case Err(TableUnavailable(detail)):
                return Err(ConfigurationUnavailable(detail))
            case Err(TableConflict()):
                return await self._read_winning_configuration(proposal)

    async def _read_winning_configuration(
        self, proposal: ConfigurationProposed
    ) -> ProposeResult:
        match await read_configuration(self.table):
            case Ok(StoredConfiguration(stored)):
                return Err(GenerationConflict(proposal.expected, stored))
            case Err(error):
                return Err(ConfigurationUnavailable(error.detail))

    async def _poll(self) -> None:
        match await read_configuration(self.table):
            case Ok(StoredConfiguration(stored)):
                self.mailbox.post(ConfigurationRead(stored))
            case Err(error):
                log_warning("configuration_not_read", detail=error.detail)


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """Configuration and version of its row; generation and version 0 without a row."""

    configuration: Configuration
    version: int


async def read_configuration(
    table: Table, limit_ms: int = CALL_TIMEOUT_MS
) -> Result[StoredConfiguration, TableUnavailable]:
    """Read the configuration row."""
    match await table.read(CONFIGURATION_KEY, limit_ms):
        case Ok(None):
            return Ok(StoredConfiguration(Configuration(), ABSENT))
        case Ok(Row(version=version, value=value)):
            return Ok(StoredConfiguration(decode_configuration(value), version))
        case Err(error):
            return Err(error)


def encode_configuration(configuration: Configuration) -> str:
    """Return the JSON text of a configuration."""
    return msgspec.json.encode(configuration).decode()


def decode_configuration(text: str) -> Configuration:
    """Return the configuration of a JSON text."""
    return msgspec.json.decode(text, type=Configuration)


def encode_history(entry: HistoryEntry) -> str:
    """Return the JSON text of a history entry."""
    return msgspec.json.encode(entry).decode()


def decode_history(text: str) -> HistoryEntry:
    """Return the history entry of a JSON text."""
    return msgspec.json.decode(text, type=HistoryEntry)


def history_key(generation: int) -> str:
    """Return the key of a history entry; the keys sort by generation."""
    return f"{HISTORY_PREFIX}{generation:0{GENERATION_DIGITS}d}"


def generation_check(version: int) -> Check:
    """Return an operation that fails if the configuration has changed."""
    return Check(CONFIGURATION_KEY, version)
