"""Entry point of ``acaciamoorctl``."""

import asyncio
import collections.abc
import sys

import grpc

from acaciamoor.ctl import check
from acaciamoor.ctl import client
from acaciamoor.ctl import commands
from acaciamoor.ctl import flags
from acaciamoor.ctl import output
from acaciamoor.operator import operator_pb2
from acaciamoor.operator import operator_pb2_grpc
import acaciamoor.settings as settings

PROGRAM = 'acaciamoorctl'
_EPILOG = (
    'exit codes: 0 success or accepted, 1 failure or findings of check, '
    '2 bad settings, 3 refused or conflict, 4 outcome unknown'
)
_EXIT_CODES_BY_OUTCOME = {
    'accepted': settings.ExitCode.SUCCESS,
    'refused': settings.ExitCode.REFUSED,
    'conflict': settings.ExitCode.REFUSED,
    'unknown': settings.ExitCode.OUTCOME_UNKNOWN,
}


def parse(
    arguments: collections.abc.Sequence[str] | None = None,
    environment: collections.abc.Mapping[str, str] | None = None,
) -> settings.Settings:
    """Return the settings of the program.

    Raises
    ------
    FindingsError
        If settings are missing or invalid; lists every problem.
    """
    parser = settings.SettingsParser(
        PROGRAM,
        'Checks, creates and changes services, and evacuates data centres.',
        flags.COMMON_FLAGS,
        flags.COMMANDS,
        _EPILOG,
    )
    return parser.parse(arguments, environment)


async def run(given: settings.Settings) -> settings.ExitCode:
    """Execute the command and return the exit code."""
    if given.command == 'check':
        return check.run(given)
    timeout = given[flags.TIMEOUT].total_seconds()
    async with client.open_channel(given) as channel:
        try:
            # No request has been sent yet, so a timeout here is a failure
            # rather than an unknown outcome.
            await asyncio.wait_for(channel.channel_ready(), timeout)
        except TimeoutError:
            _print_error(f'{given[flags.API_ADDRESS]} cannot be reached')
            return settings.ExitCode.FAILURE
        stub = operator_pb2_grpc.OperatorStub(channel)
        if given.command in commands.CHANGES_BY_COMMAND:
            return await _execute_change(stub, given, timeout)
        if given.command in commands.READS_BY_COMMAND:
            return await _execute_read(stub, given, timeout)
        return await _print_events(stub, given)


async def _execute_change(
    stub: operator_pb2_grpc.OperatorStub,
    given: settings.Settings,
    timeout: float,
) -> settings.ExitCode:
    method, build_request = commands.CHANGES_BY_COMMAND[given.command]
    try:
        reply = await getattr(stub, method)(
            build_request(given), timeout=timeout
        )
    except grpc.aio.AioRpcError as error:
        message = f'the reply was lost: {error.code().name} {error.details()}'
        reply = operator_pb2.ChangeReply(
            unknown=operator_pb2.OutcomeUnknown(message=message)
        )
    if given[flags.OUTPUT] is flags.OutputFormat.JSON:
        print(output.format_json(reply))
    else:
        _print_outcome(reply)
    return _EXIT_CODES_BY_OUTCOME[reply.WhichOneof('outcome')]


def _print_outcome(reply: operator_pb2.ChangeReply) -> None:
    outcome = reply.WhichOneof('outcome')
    if outcome == 'accepted':
        version = reply.accepted.version
        print(f'accepted: version {version}' if version else 'accepted')
        for notice in reply.accepted.notices:
            print(f'  notice: {notice.place}: {notice.message}')
    elif outcome == 'refused':
        print('refused:')
        for finding in reply.refused.findings:
            print(f'  {finding.place}: {finding.message}')
    elif outcome == 'conflict':
        writer = reply.conflict.written_by or 'unnamed'
        print(
            f'conflict: version {reply.conflict.version} by {writer} was '
            'stored first'
        )
    else:
        print(f'outcome unknown: {reply.unknown.message}')


async def _execute_read(
    stub: operator_pb2_grpc.OperatorStub,
    given: settings.Settings,
    timeout: float,
) -> settings.ExitCode:
    method, build_request = commands.READS_BY_COMMAND[given.command]
    try:
        reply = await getattr(stub, method)(
            build_request(given), timeout=timeout
        )
    except grpc.aio.AioRpcError as error:
        _print_error(f'{error.code().name}: {error.details()}')
        return settings.ExitCode.FAILURE
    if given[flags.OUTPUT] is flags.OutputFormat.JSON:
        print(output.format_json(reply))
    else:
        upstreams = given.command == 'list' and given[flags.SHOW_UPSTREAMS]
        print(output.format_reply(reply, upstreams))
    return settings.ExitCode.SUCCESS


async def _print_events(
    stub: operator_pb2_grpc.OperatorStub, given: settings.Settings
) -> settings.ExitCode:
    request = operator_pb2.WatchServicesRequest(
        after_version=given[flags.AFTER_VERSION]
    )
    try:
        async for event in stub.WatchServices(request):
            for line in _event_lines(given, event):
                print(line, flush=True)
    except grpc.aio.AioRpcError as error:
        _print_error(f'{error.code().name}: {error.details()}')
    return settings.ExitCode.FAILURE


def _event_lines(
    given: settings.Settings, event: operator_pb2.ServiceEvent
) -> collections.abc.Iterator[str]:
    if given[flags.OUTPUT] is flags.OutputFormat.JSON:
        yield output.format_json(event)
        return
    yield '  '.join(str(cell) for cell in output.event_row(event))
    if given[flags.SHOW_UPSTREAMS]:
        for row in output.upstream_rows(event.service):
            yield '  ' + '  '.join(str(cell) for cell in row)


def _print_error(message: str) -> None:
    print(f'{PROGRAM}: {message}', file=sys.stderr)


def main() -> int:
    """Run the program and return the exit code of the process."""
    return settings.run_program(lambda: asyncio.run(run(parse())))


if __name__ == '__main__':
    sys.exit(main())
