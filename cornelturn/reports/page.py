"""The familiar page layout: 132 columns, form feeds, headings, totals."""

from __future__ import annotations

from dataclasses import dataclass, field

PAGE_COLUMNS = 132
PAGE_LINES = 60
HEADING_LINES = 5
FORM_FEED = "\f"


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a report.

    Parameters
    ----------
    title : str
        Title over the column.
    width : int
        Characters.
    is_number : bool
        Whether the column is set flush right.
    """

    title: str
    width: int
    is_number: bool = False


@dataclass(frozen=True, slots=True)
class Line:
    """A detail line, or a total if `is_total`.

    Parameters
    ----------
    cells : tuple of str
        One cell for each column.
    breaks : tuple of str
        Values of the control breaks, outermost first.
    """

    cells: tuple[str, ...]
    breaks: tuple[str, ...] = ()
    is_total: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """A report before it is laid out.

    Parameters
    ----------
    identity : str
        Report id, for example ``CT010``.
    title : str
        Title.
    columns : tuple of Column
        Columns.
    break_titles : tuple of str
        Titles of the control breaks, outermost first.
    lines : tuple of Line
        Detail and total lines in order.
    """

    identity: str
    title: str
    columns: tuple[Column, ...]
    lines: tuple[Line, ...]
    break_titles: tuple[str, ...] = ()


@dataclass(slots=True)
class PageWriter:
    """Lays a report out on pages.

    Parameters
    ----------
    run_date : str
        Date of the run, as printed.
    """

    report: Report
    run_date: str
    pages: list[list[str]] = field(default_factory=list)
    current: list[str] = field(default_factory=list)

    def render(self) -> str:
        """Return the text of all pages."""
        before: tuple[str, ...] | None = None
        for line in self.report.lines:
            if line.breaks != before and line.breaks:
                self._break(line.breaks, before)
                before = line.breaks
            self._put(self._cells(line.cells))
            if line.is_total:
                self._put("")
        count = sum(not line.is_total for line in self.report.lines)
        self._put("")
        self._put(f"*** END OF REPORT {self.report.identity} *** {count} LINES")
        self._end_page()
        total = len(self.pages)
        texts = [
            "\n".join([*self._heading(number, total), *page]) + "\n"
            for number, page in enumerate(self.pages, 1)
        ]
        return FORM_FEED.join(texts)

    def _break(self, values: tuple[str, ...], before: tuple[str, ...] | None) -> None:
        is_outer_new = before is None or before[0] != values[0]
        if is_outer_new and self.current:
            self._put("")
        names = [
            f"{title}: {value}"
            for title, value in zip(self.report.break_titles, values, strict=True)
        ]
        self._put("  ".join(names))

    def _put(self, text: str) -> None:
        if len(self.current) >= PAGE_LINES - HEADING_LINES:
            self._end_page()
        self.current.append(text[:PAGE_COLUMNS].rstrip())

    def _end_page(self) -> None:
        if self.current or not self.pages:
            self.pages.append(self.current)
            self.current = []

    def _heading(self, number: int, total: int) -> list[str]:
        left = f"REPORT {self.report.identity}"
        right = f"PAGE {number:4d} OF {total:4d}"
        middle = "CORNELTURN " + self.report.title.upper()
        width = PAGE_COLUMNS - len(left) - len(right)
        titles = self._cells(tuple(one.title.upper() for one in self.report.columns))
        rule = self._cells(tuple("-" * one.width for one in self.report.columns))
        return [
            left + middle.center(width) + right,
            f"RUN DATE {self.run_date}",
            "",
            titles.rstrip(),
            rule.rstrip(),
        ]

    def _cells(self, cells: tuple[str, ...]) -> str:
        parts = []
        for column, cell in zip(self.report.columns, cells, strict=True):
            text = cell[: column.width]
            if column.is_number:
                parts.append(text.rjust(column.width))
            else:
                parts.append(text.ljust(column.width))
        return " ".join(parts)
