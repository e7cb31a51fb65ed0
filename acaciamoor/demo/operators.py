"""The operators' API of the demo, used through ``acaciamoorctl``."""

import asyncio
import datetime

from acaciamoor import model
from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import site as sites

_TIMEOUT = datetime.timedelta(seconds=20)
_SUCCESS = 0


class OperatorError(RuntimeError):
    """A command of an operator was not accepted."""


class Operators:
    """Creates and changes services as an operator does.

    Parameters
    ----------
    site : Site
        Addresses.
    launcher : Launcher
        Starts the API and the commands.
    """

    def __init__(self, site: sites.Site, launcher: launchers.Launcher) -> None:
        self._site = site
        self._launcher = launcher

    def start(self) -> None:
        """Start the operators' API."""
        self._launcher.start(
            'operator',
            '-m',
            'acaciamoor.operator',
            '--address',
            str(self._site.operator),
            '--platform-url',
            self._site.platform_url,
            '--plain-text',
            '--data-centre',
            sites.DATA_CENTRE,
            '--host',
            'operator-1',
        )

    async def create(self, service: model.Service) -> str:
        """Create a service and return what the command printed.

        Raises
        ------
        OperatorError
            If the change is not accepted.
        """
        arguments = ['create', service.name, '--address', str(service.address)]
        for upstream in service.upstreams_by_id.values():
            arguments += ['--upstream', _upstream_text(upstream)]
        return await self._command(*arguments)

    async def drain(
        self, service_name: str, upstream_id: model.UpstreamId
    ) -> str:
        """Drain an upstream and return what the command printed.

        Raises
        ------
        OperatorError
            If the change is not accepted.
        """
        return await self._command('drain', service_name, upstream_id)

    async def _command(self, *arguments: str) -> str:
        process = self._launcher.start(
            'ctl',
            '-m',
            'acaciamoor.ctl',
            *arguments,
            '--api-address',
            str(self._site.operator),
            '--plain-text',
        )
        output, _ = await asyncio.to_thread(
            process.communicate, timeout=_TIMEOUT.total_seconds()
        )
        if process.returncode != _SUCCESS:
            raise OperatorError(
                f'{arguments[0]} ended with {process.returncode}: {output}'
                f'{self._launcher.log("ctl")}'
            )
        return output.strip()


def _upstream_text(upstream: model.Upstream) -> str:
    return (
        f'{upstream.upstream_id}@{upstream.data_centre}={upstream.address}'
        f'/control={upstream.control}/slots={upstream.slots}'
        f'/connections={upstream.connections}'
    )
