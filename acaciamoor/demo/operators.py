"""Operator of the demo, who changes services with ``acaciamoorctl``."""

import asyncio
import datetime

from acaciamoor import model
from acaciamoor.demo import launcher as launchers
from acaciamoor.demo import site as sites

_COMMAND_TIMEOUT = datetime.timedelta(seconds=20)
_EXIT_SUCCESS = 0


class CommandError(RuntimeError):
    """A command of the operator failed."""


class OperatorClient:
    """Starts the operator API and changes services through it.

    Parameters
    ----------
    site : Site
        Addresses of the site.
    launcher : Launcher
        Launcher of the API and of the commands.
    """

    def __init__(self, site: sites.Site, launcher: launchers.Launcher) -> None:
        self._site = site
        self._launcher = launcher

    def start(self) -> None:
        """Start the operator API."""
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
        CommandError
            If the command fails.
        """
        arguments = ['create', service.name, '--address', str(service.address)]
        for upstream in service.upstreams_by_id.values():
            arguments += ['--upstream', _format_upstream(upstream)]
        return await self._run_command(*arguments)

    async def drain(
        self, service_name: str, upstream_id: model.UpstreamId
    ) -> str:
        """Drain an upstream and return what the command printed.

        Raises
        ------
        CommandError
            If the command fails.
        """
        return await self._run_command('drain', service_name, upstream_id)

    async def _run_command(self, *arguments: str) -> str:
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
            process.communicate, timeout=_COMMAND_TIMEOUT.total_seconds()
        )
        if process.returncode != _EXIT_SUCCESS:
            raise CommandError(
                f'{arguments[0]} exited with {process.returncode}: {output}'
                f'{self._launcher.log("ctl")}'
            )
        return output.strip()


def _format_upstream(upstream: model.Upstream) -> str:
    return (
        f'{upstream.upstream_id}@{upstream.data_centre}={upstream.address}'
        f'/control={upstream.control}/slots={upstream.slots}'
        f'/connections={upstream.connections}'
    )
