"""HTTP endpoint that tells the fabric whether to send datagrams here."""

from aiohttp import web

from acaciamoor.balancer import core as cores
import acaciamoor.model as model


class HealthEndpoint:
    """Responds with 200 while the balancer is serving, otherwise with 503.

    Parameters
    ----------
    core : BalancerCore
        Core whose state is reported.
    address : Address
        Address that the endpoint listens on.
    """

    def __init__(
        self, core: cores.BalancerCore, address: model.Address
    ) -> None:
        self._core = core
        self._address = address
        application = web.Application()
        application.add_routes([web.get('/health', self._health)])
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.ip, self._address.port)
        await site.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _health(self, _: web.Request) -> web.Response:
        state = self._core.state()
        return web.Response(
            status=200 if state is cores.State.SERVING else 503,
            text=state.value,
        )
