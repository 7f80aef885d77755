"""The configuration in force at one entry.

A process moves to higher versions only, and takes the higher of what the log
and what its sides know; so an entry that starts while the log is away has
the newest one too.
"""

from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple

from kingcuplever import logs
from kingcuplever import plain
from kingcuplever.version import configuration


class ConfigVersion(NamedTuple):
    """An accepted configuration; number 0 is the defaults."""

    number: int
    config: configuration.Configuration


class ConfigHolder:
    """Holds the newest version that this entry has heard of."""

    def __init__(self, on_version: Callable[[ConfigVersion], None]) -> None:
        """Start with the defaults.

        :param on_version: told of every newer version.
        """
        self._on_version = on_version
        self._version = ConfigVersion(0, configuration.Configuration())

    @property
    def version(self) -> ConfigVersion:
        """The version in force here."""
        return self._version

    def get_newer_text(self, version: int) -> str | None:
        """Give the document for a process whose version is older."""
        if version >= self._version.number:
            return None
        return configuration.to_text(self._version.config)

    def apply_text_if_newer(self, number: int, text: str) -> None:
        """Take a version that a side knows, if it is higher."""
        try:
            self.apply_if_newer(number, json.loads(text))
        except ValueError as error:
            logs.warn(
                logs.Component.CONFIG, f"A side's document fails: {error}"
            )

    def apply_if_newer(self, number: int, document: Any) -> None:
        """Take a version, if it is higher."""
        if number <= self._version.number:
            return
        try:
            config = configuration.parse_document(document)
        except plain.ValidationError as error:
            text = f"Configuration {number} can't be used: {error}"
            logs.warn(logs.Component.CONFIG, text)
            return
        self._version = ConfigVersion(number, config)
        text = f"Configuration {number} is in force."
        logs.info(logs.Component.CONFIG, text)
        self._on_version(self._version)
