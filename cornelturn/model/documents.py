"""Decoded rows of the operator and of the targets, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from result import Result

from cornelturn.model.decoding import DocumentError
from cornelturn.model.routes import RoutingTable
from cornelturn.model.upkeep import UpkeepWave
from cornelturn.store.rows import Row
from cornelturn.targets.model import ListedTarget


@dataclass(frozen=True, slots=True)
class ConfigurationRow:
    """A row with a configuration, as text that is also sent to other entries."""

    text: str


@dataclass(frozen=True, slots=True)
class WaveRow:
    """A row that requests a wave of upkeep."""

    wave: UpkeepWave


@dataclass(frozen=True, slots=True)
class OtherRow:
    """A row that this program does not use."""


OperatorRow = ConfigurationRow | WaveRow | OtherRow


class RowDecoder(Protocol):
    """Decodes the rows of the operator and of the targets.

    Parameters
    ----------
    operator_table, targets_table : str
        Tables that hold these rows.
    """

    operator_table: str
    targets_table: str

    def decode_operator_row(self, row: Row) -> Result[OperatorRow, DocumentError]:
        """Decode a row of the operator."""

    def decode_configuration(self, text: str) -> Result[RoutingTable, DocumentError]:
        """Decode the text of a configuration."""

    def decode_target(self, row: Row) -> Result[ListedTarget, DocumentError]:
        """Decode a row that lists a target."""
