"""Loads YAML into validated models, and reports every error with its path."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

ModelType = TypeVar("ModelType", bound=BaseModel)
MAX_SHOWN_LENGTH = 80
PROBLEM_SEPARATOR = "; "
SECRET_SUFFIXES = ("key", "token_sha256")


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """An error in a document.

    Parameters
    ----------
    path : str
        Path of the value, for example ``inner.peers[0].address``.
    message : str
        Expected and found value.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


LoadResult = Result[ModelType, tuple[SettingsProblem, ...]]


def load_file(path: Path, model: type[ModelType]) -> LoadResult[ModelType]:
    """Read and validate a YAML file; return every error in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        message = f"expected a readable file, found {error}"
        return Err((SettingsProblem(str(path), message),))
    return load_text(text, model)


def load_text(text: str, model: type[ModelType]) -> LoadResult[ModelType]:
    """Parse and validate YAML text; return every error in it."""
    try:
        document = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        shown = " ".join(str(error).split())[:MAX_SHOWN_LENGTH]
        return Err((SettingsProblem("document", f"expected YAML, found {shown}"),))
    return validate_document(document, model)


def validate_document(
    document: object, model: type[ModelType]
) -> LoadResult[ModelType]:
    """Validate a parsed document; return every error in it."""
    try:
        return Ok(model.model_validate(document))
    except ValidationError as error:
        return Err(
            tuple(problem for detail in error.errors() for problem in _problems(detail))
        )


def _problems(error: dict[str, object]) -> list[SettingsProblem]:
    path = ""
    for part in error["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    path = path.lstrip(".") or "document"
    message = str(error["msg"])
    if error["type"] == "value_error":
        texts = message.removeprefix("Value error, ").split(PROBLEM_SEPARATOR)
        return [SettingsProblem(path, text) for text in texts]
    if error["type"] == "missing":
        return [SettingsProblem(path, "expected a value, found none")]
    shown = repr(error.get("input"))
    if path.endswith(SECRET_SUFFIXES):
        shown = "<hidden>"
    if len(shown) > MAX_SHOWN_LENGTH:
        shown = shown[:MAX_SHOWN_LENGTH] + "..."
    expectation = message[:1].lower() + message[1:]
    return [SettingsProblem(path, f"expected: {expectation}; found {shown}")]
