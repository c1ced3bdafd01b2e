"""What an entry reads of the operator's and the targets' rows, whatever their form."""

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
    """The row holds a configuration; other entries are sent its text."""

    text: str


@dataclass(frozen=True, slots=True)
class WaveRow:
    """The row asks for a wave of upkeep."""

    wave: UpkeepWave


@dataclass(frozen=True, slots=True)
class OtherRow:
    """The row is none of this program's."""


OperatorRow = ConfigurationRow | WaveRow | OtherRow


class RowDecoder(Protocol):
    """Rows of the operator and of the targets.

    Parameters
    ----------
    operator_table, targets_table : str
        Tables that hold them.
    """

    operator_table: str
    targets_table: str

    def decode_operator_row(self, row: Row) -> Result[OperatorRow, DocumentError]:
        """Return what a row of the operator says."""

    def decode_configuration(self, text: str) -> Result[RoutingTable, DocumentError]:
        """Return the configuration that a text holds."""

    def decode_target(self, row: Row) -> Result[ListedTarget, DocumentError]:
        """Return the target that a row lists."""
