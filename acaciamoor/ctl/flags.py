"""Flags and commands of ``acaciamoorctl``."""

import datetime
import enum

from acaciamoor.ctl import upstreams
import acaciamoor.model as model
import acaciamoor.settings as settings


class Output(enum.Enum):
    """Form of the output."""

    TABLE = 'table'
    JSON = 'json'


API_ADDRESS = settings.Flag(
    'api-address',
    settings.address,
    model.Address('127.0.0.1', 7443),
    "Address of the operators' API.",
    'ip:port',
)
AUTHORITY = settings.Flag(
    'tls-authority',
    settings.optional(settings.path),
    None,
    'PEM file with the authorities that sign the server certificate.',
)
CERTIFICATE = settings.Flag(
    'tls-certificate',
    settings.optional(settings.path),
    None,
    'PEM file with the certificate of this client.',
)
KEY = settings.Flag(
    'tls-key',
    settings.optional(settings.path),
    None,
    'PEM file with the key of this client.',
)
SERVER_NAME = settings.Flag(
    'tls-server-name',
    settings.optional(settings.text),
    None,
    'Name in the server certificate, if it is not the address.',
)
PLAIN_TEXT = settings.Flag(
    'plain-text',
    settings.boolean,
    False,
    'Connect without TLS; allowed to a loopback address only.',
)
TIMEOUT = settings.Flag(
    'timeout',
    settings.duration(datetime.timedelta(milliseconds=1)),
    datetime.timedelta(seconds=20),
    'Limit for connecting and for a call.',
    'seconds',
)
OUTPUT = settings.Flag(
    'output', settings.choice(Output), Output.TABLE, 'table or json.'
)
COMMON_FLAGS = (
    API_ADDRESS,
    AUTHORITY,
    CERTIFICATE,
    KEY,
    SERVER_NAME,
    PLAIN_TEXT,
    TIMEOUT,
    OUTPUT,
)

NAME = settings.RequiredFlag(
    'name', settings.text, 'Name of the service.', positional=True
)
UPSTREAM_ID = settings.RequiredFlag(
    'upstream-id', settings.text, 'Name of the upstream.', positional=True
)
NEW_UPSTREAM = settings.RequiredFlag(
    'upstream',
    upstreams.parse_upstream,
    'Upstream as ID@DATA_CENTRE=IP:PORT, then /weight=, /slots=, '
    '/connections= or /control= as needed.',
    positional=True,
)
SERVICE_ADDRESS = settings.RequiredFlag(
    'address', settings.text, 'Where callers send.', 'ip:port'
)
UPSTREAMS = settings.Flag(
    'upstream',
    settings.several(upstreams.parse_upstream),
    (),
    'Upstream in the form that add takes; may be given several times.',
)
EXPECTED_VERSION = settings.Flag(
    'expected-version',
    settings.integer(0),
    0,
    'Version that the change replaces; 0 stands for the current one.',
)
REQUESTED_BY = settings.Flag(
    'requested-by',
    settings.optional(settings.text),
    '',
    'Who asks for the change; a client certificate overrides it.',
)
SHOW_UPSTREAMS = settings.Flag(
    'upstreams', settings.boolean, False, 'Show one line for each upstream.'
)
AFTER_VERSION = settings.Flag(
    'after-version',
    settings.integer(0),
    0,
    'Show changes after this version; 0 starts with all services.',
)

_OPTIONAL_NUMBER = settings.optional(settings.number())
POLICY_FLAGS_BY_FIELD = {
    'queue_limit': settings.Flag(
        'queue-limit',
        settings.optional(settings.integer()),
        None,
        'Requests that may wait in one data centre.',
        'requests',
    ),
    'long_share': settings.Flag(
        'long-share',
        _OPTIONAL_NUMBER,
        None,
        'Share of the slots for announced long work.',
        '0 to 1',
    ),
    'retry_ratio': settings.Flag(
        'retry-ratio',
        _OPTIONAL_NUMBER,
        None,
        'Retries allowed for each request.',
        '0 to 1',
    ),
    'slow_start_s': settings.Flag(
        'slow-start',
        _OPTIONAL_NUMBER,
        None,
        'Time until a new upstream has its full share.',
        'seconds',
    ),
    'ejection_floor': settings.Flag(
        'ejection-floor',
        _OPTIONAL_NUMBER,
        None,
        'Share of the upstreams that always stays in use.',
        '0 to 1',
    ),
}
_POLICY = tuple(POLICY_FLAGS_BY_FIELD.values())
_CHANGE = (EXPECTED_VERSION, REQUESTED_BY)
COMMANDS = (
    settings.Command(
        'create',
        'Create a service.',
        (NAME, SERVICE_ADDRESS, UPSTREAMS, *_POLICY, REQUESTED_BY),
    ),
    settings.Command(
        'change', 'Change rules for new work.', (NAME, *_POLICY, *_CHANGE)
    ),
    settings.Command(
        'add', 'Add an upstream.', (NAME, NEW_UPSTREAM, *_CHANGE)
    ),
    settings.Command(
        'drain',
        'Give no new work to an upstream.',
        (NAME, UPSTREAM_ID, *_CHANGE),
    ),
    settings.Command(
        'remove', 'Remove a drained upstream.', (NAME, UPSTREAM_ID, *_CHANGE)
    ),
    settings.Command('delete', 'Delete a service.', (NAME, *_CHANGE)),
    settings.Command('list', 'List services.', (SHOW_UPSTREAMS,)),
    settings.Command('describe', 'Show one service.', (NAME,)),
    settings.Command(
        'watch',
        'Show changes as they happen.',
        (AFTER_VERSION, SHOW_UPSTREAMS),
    ),
    settings.Command('status', 'Show the version in each data centre.'),
)
