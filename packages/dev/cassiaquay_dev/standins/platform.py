"""Platform stand-in: configuration service, instance list and weight store.

Run as ``python -m cassiaquay_dev.standins.platform --config_calls 600`` with the fields
of `platform_settings.PlatformSettings` as flags.
"""

import typing

import fire
from starlette import applications

from . import config_service, instance_list, platform_settings, serving, weight_store


class Platform:
    """The three services of the platform behind one port."""

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        self.config = config_service.ConfigService(settings)
        self.instances = instance_list.InstanceList(settings)
        self.weights = weight_store.WeightStore(settings)
        self.app = applications.Starlette(
            routes=[
                *self.config.routes(),
                *self.instances.routes(),
                *self.weights.routes(),
            ]
        )

    def start(self) -> None:
        """Do nothing: the services have no background tasks."""

    async def stop(self) -> None:
        """Do nothing: there are no tasks to stop."""


def main(**flags: typing.Any) -> None:
    """Run the platform until SIGTERM."""
    settings = platform_settings.PlatformSettings(**flags)
    serving.run(lambda: [(Platform(settings), settings.port)])


if __name__ == "__main__":
    fire.Fire(main)
