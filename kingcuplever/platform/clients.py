"""The adapter's factories, which the entry and side processes use."""

from typing import Final

from kingcuplever.platform import executor
from kingcuplever.platform import registry
from kingcuplever.platform import store
from kingcuplever.process import platform_factories

FACTORIES: Final = platform_factories.PlatformFactories(
    store.Store, executor.Executor, registry.make_handler
)
