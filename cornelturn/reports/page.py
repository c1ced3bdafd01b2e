"""Page layout that operators are used to: 132 columns, headings, totals, form feeds."""

from __future__ import annotations

from dataclasses import dataclass, field

PAGE_WIDTH_CHARS = 132
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
        Width in characters; longer cells are cut.
    is_right_aligned : bool
        Whether cells are aligned to the right, as numbers are.
    """

    title: str
    width: int
    is_right_aligned: bool = False


@dataclass(frozen=True, slots=True)
class Line:
    """A detail line, or a total if `is_total`.

    Parameters
    ----------
    cells : tuple of str
        One cell per column.
    breaks : tuple of str
        Values of the control breaks, outermost first.
    """

    cells: tuple[str, ...]
    breaks: tuple[str, ...] = ()
    is_total: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """Contents of a report, without page layout.

    Parameters
    ----------
    report_id : str
        Report id, for example ``CT010``.
    title : str
        Title in the page heading.
    columns : tuple of Column
        Columns, from left to right.
    break_titles : tuple of str
        Titles of the control breaks, outermost first.
    lines : tuple of Line
        Detail and total lines, in order.
    """

    report_id: str
    title: str
    columns: tuple[Column, ...]
    lines: tuple[Line, ...]
    break_titles: tuple[str, ...] = ()


@dataclass(slots=True)
class PageWriter:
    """Lays out a report on pages.

    Parameters
    ----------
    run_date : str
        Date and time of the report, as printed.
    """

    report: Report
    run_date: str
    pages: list[list[str]] = field(default_factory=list)
    current_page: list[str] = field(default_factory=list)

    def render(self) -> str:
        """Return the text of all pages."""
        previous_breaks: tuple[str, ...] | None = None
        for line in self.report.lines:
            if line.breaks != previous_breaks and line.breaks:
                self._append_break_heading(line.breaks, previous_breaks)
                previous_breaks = line.breaks
            self._append_line(self._format_cells(line.cells))
            if line.is_total:
                self._append_line("")
        detail_count = sum(not line.is_total for line in self.report.lines)
        self._append_line("")
        self._append_line(
            f"*** END OF REPORT {self.report.report_id} *** {detail_count} LINES"
        )
        self._end_page()
        page_count = len(self.pages)
        page_texts = [
            "\n".join([*self._page_heading(page_number, page_count), *page]) + "\n"
            for page_number, page in enumerate(self.pages, 1)
        ]
        return FORM_FEED.join(page_texts)

    def _append_break_heading(
        self, values: tuple[str, ...], previous_breaks: tuple[str, ...] | None
    ) -> None:
        is_outer_break_changed = (
            previous_breaks is None or previous_breaks[0] != values[0]
        )
        if is_outer_break_changed and self.current_page:
            self._append_line("")
        labels = [
            f"{title}: {value}"
            for title, value in zip(self.report.break_titles, values, strict=True)
        ]
        self._append_line("  ".join(labels))

    def _append_line(self, text: str) -> None:
        if len(self.current_page) >= PAGE_LINES - HEADING_LINES:
            self._end_page()
        self.current_page.append(text[:PAGE_WIDTH_CHARS].rstrip())

    def _end_page(self) -> None:
        if self.current_page or not self.pages:
            self.pages.append(self.current_page)
            self.current_page = []

    def _page_heading(self, page_number: int, page_count: int) -> list[str]:
        left = f"REPORT {self.report.report_id}"
        right = f"PAGE {page_number:4d} OF {page_count:4d}"
        centre = "CORNELTURN " + self.report.title.upper()
        width = PAGE_WIDTH_CHARS - len(left) - len(right)
        titles = self._format_cells(
            tuple(column.title.upper() for column in self.report.columns)
        )
        underlines = self._format_cells(
            tuple("-" * column.width for column in self.report.columns)
        )
        return [
            left + centre.center(width) + right,
            f"RUN DATE {self.run_date}",
            "",
            titles.rstrip(),
            underlines.rstrip(),
        ]

    def _format_cells(self, cells: tuple[str, ...]) -> str:
        parts = []
        for column, cell in zip(self.report.columns, cells, strict=True):
            text = cell[: column.width]
            if column.is_right_aligned:
                parts.append(text.rjust(column.width))
            else:
                parts.append(text.ljust(column.width))
        return " ".join(parts)
