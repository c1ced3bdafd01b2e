"""An in-memory table with conditional transactions."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.store.wire import WireOperation, WireRow


@dataclass(slots=True)
class MemoryTable:
    """Rows by key; the version of a row is the revision of its last write."""

    revision: int = 0
    rows: dict[str, WireRow] = field(default_factory=dict)
    deletion_revisions: dict[str, int] = field(default_factory=dict)

    def transact(self, operations: tuple[WireOperation, ...]) -> tuple[str, ...]:
        """Apply all operations, or none and return the keys whose version differs."""
        failed = tuple(
            operation.key
            for operation in operations
            if not self._is_version_expected(operation)
        )
        if failed:
            return failed
        self.revision += 1
        for operation in operations:
            self._apply(operation)
        return ()

    def rows_written_after(self, prefix: str, after_revision: int) -> list[WireRow]:
        """Return the rows under a prefix that were written after a revision."""
        return [
            row
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix) and row.version > after_revision
        ]

    def keys_deleted_after(self, prefix: str, after_revision: int) -> list[str]:
        """Return the keys under a prefix that were deleted after a revision."""
        return [
            key
            for key, revision in sorted(self.deletion_revisions.items())
            if key.startswith(prefix) and revision > after_revision
        ]

    def _is_version_expected(self, operation: WireOperation) -> bool:
        if operation.expected is None:
            return True
        row = self.rows.get(operation.key)
        return (row.version if row else 0) == operation.expected

    def _apply(self, operation: WireOperation) -> None:
        key = operation.key
        match operation.kind:
            case "put":
                self.deletion_revisions.pop(key, None)
                self.rows[key] = WireRow(
                    key, self.revision, operation.token, operation.value
                )
            case "delete":
                if self.rows.pop(key, None) is not None:
                    self.deletion_revisions[key] = self.revision
