"""Holds the configuration in force at one entry.

Versions only increase.  An entry accepts a newer version from the log or
from a side's heartbeat, so that one that starts while the log is unavailable
still gets the newest configuration.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from kingcuplever import lenient_json
from kingcuplever import logs
from kingcuplever import plain
from kingcuplever.version import configuration


class ConfigVersion(NamedTuple):
    """An accepted configuration; version number 0 is the defaults."""

    number: int
    config: configuration.Configuration


class ConfigHolder:
    """Holds the newest version that this entry has received."""

    def __init__(self, on_version: Callable[[ConfigVersion], None]) -> None:
        """Start with the defaults.

        :param on_version: called with every newer version.
        """
        self._on_version = on_version
        self._version = ConfigVersion(0, configuration.Configuration())

    @property
    def version(self) -> ConfigVersion:
        """The version in force at this entry."""
        return self._version

    def get_newer_text(self, version: int) -> str | None:
        """Return the document for a process that has an older version."""
        if version >= self._version.number:
            return None
        return configuration.to_text(self._version.config)

    def apply_text_if_newer(self, number: int, text: str) -> None:
        """Apply a version that a side has sent, if it is newer."""
        try:
            self.apply_if_newer(number, lenient_json.parse(text))
        except plain.CONVERSION_ERRORS as error:
            logs.warn(
                logs.Component.CONFIG,
                f"A side's configuration is invalid: {error}",
            )

    def apply_if_newer(self, number: int, document: Any) -> None:
        """Apply a version if it is newer than the one in force."""
        if number <= self._version.number:
            return
        try:
            config = configuration.parse_document(document)
        except plain.ValidationError as error:
            text = f"Configuration {number} is invalid: {error}"
            logs.warn(logs.Component.CONFIG, text)
            return
        self._version = ConfigVersion(number, config)
        text = f"Configuration {number} is in force."
        logs.info(logs.Component.CONFIG, text)
        self._on_version(self._version)
