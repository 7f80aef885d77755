"""The adapter's clients, as the product's processes take them."""

from typing import Final

from kingcuplever.platform import executor
from kingcuplever.platform import registry
from kingcuplever.platform import store
from kingcuplever.process import platform_factories

FACTORIES: Final = platform_factories.PlatformFactories(
    store.Store, executor.Executor, registry.make_handler
)
