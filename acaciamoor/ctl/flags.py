"""Flags and commands of ``acaciamoorctl``."""

import datetime
import enum

from acaciamoor.ctl import upstreams
import acaciamoor.model as model
import acaciamoor.settings as settings


class OutputFormat(enum.Enum):
    """Output format of replies and events."""

    TABLE = 'table'
    JSON = 'json'


API_ADDRESS = settings.Flag(
    'api-address',
    settings.address,
    model.Address('127.0.0.1', 7443),
    'Address of the operator API.',
    'ip:port',
)
AUTHORITY = settings.Flag(
    'tls-authority',
    settings.optional(settings.path),
    None,
    'PEM file with the certificate authorities trusted to sign the server '
    'certificate.',
)
CERTIFICATE = settings.Flag(
    'tls-certificate',
    settings.optional(settings.path),
    None,
    'PEM file with the client certificate.',
)
KEY = settings.Flag(
    'tls-key',
    settings.optional(settings.path),
    None,
    'PEM file with the private key of the client.',
)
SERVER_NAME = settings.Flag(
    'tls-server-name',
    settings.optional(settings.text),
    None,
    'Name in the server certificate, if it differs from the address.',
)
PLAIN_TEXT = settings.Flag(
    'plain-text',
    settings.boolean,
    False,
    'Connect without TLS; allowed only to a loopback address.',
)
TIMEOUT = settings.Flag(
    'timeout',
    settings.duration(datetime.timedelta(milliseconds=1)),
    datetime.timedelta(seconds=20),
    'Timeout of connecting, and of a call.',
    'seconds',
)
OUTPUT = settings.Flag(
    'output',
    settings.choice(OutputFormat),
    OutputFormat.TABLE,
    'Output format, table or json.',
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
DATA_CENTRE = settings.RequiredFlag(
    'data-centre',
    settings.text,
    'Name of the data centre.',
    positional=True,
)
UPSTREAM_ID = settings.RequiredFlag(
    'upstream-id',
    settings.text,
    'Identifier of the upstream.',
    positional=True,
)
NEW_UPSTREAM = settings.RequiredFlag(
    'upstream',
    upstreams.parse_upstream,
    'Upstream as ID@DATA_CENTRE=IP:PORT, followed by any of /weight=, '
    '/slots=, /connections= and /control=.',
    positional=True,
)
SERVICE_ADDRESS = settings.RequiredFlag(
    'address', settings.text, 'Address that callers send to.', 'ip:port'
)
UPSTREAMS = settings.Flag(
    'upstream',
    settings.repeatable(upstreams.parse_upstream),
    (),
    'Upstream in the syntax of the add command; may be repeated.',
)
EXPECTED_VERSION = settings.Flag(
    'expected-version',
    settings.integer(0),
    0,
    'Version that the change replaces; 0 for the current version.',
)
REQUESTED_BY = settings.Flag(
    'requested-by',
    settings.optional(settings.text),
    '',
    'Who requests the change; a client certificate overrides it.',
)
SHOW_UPSTREAMS = settings.Flag(
    'upstreams', settings.boolean, False, 'Show one line per upstream.'
)
AFTER_VERSION = settings.Flag(
    'after-version',
    settings.integer(0),
    0,
    'Show changes after this version; 0 shows all services first.',
)

FILE = settings.RequiredFlag(
    'file',
    settings.path,
    'JSON file with the list of services, as they are stored, or in the '
    'layout of the reader.',
    positional=True,
)
AGAINST = settings.Flag(
    'against',
    settings.optional(settings.path),
    None,
    'JSON file with the version in force, for a comparison.',
)
READER = settings.Flag(
    'reader',
    settings.optional(settings.text),
    None,
    'Python module that reads the configuration of the forwarders in the '
    'layout of a platform.',
)

_OPTIONAL_NUMBER = settings.optional(settings.number())
POLICY_FLAGS_BY_FIELD = {
    'queue_limit': settings.Flag(
        'queue-limit',
        settings.optional(settings.integer()),
        None,
        'Maximum number of queued requests in one data centre.',
        'requests',
    ),
    'long_share': settings.Flag(
        'long-share',
        _OPTIONAL_NUMBER,
        None,
        'Maximum share of the slots for requests declared long.',
        '0 to 1',
    ),
    'retry_ratio': settings.Flag(
        'retry-ratio',
        _OPTIONAL_NUMBER,
        None,
        'Maximum ratio of retries to requests.',
        '0 to 1',
    ),
    'slow_start_s': settings.Flag(
        'slow-start',
        _OPTIONAL_NUMBER,
        None,
        'Time over which a new upstream reaches its full share.',
        'seconds',
    ),
    'ejection_floor': settings.Flag(
        'ejection-floor',
        _OPTIONAL_NUMBER,
        None,
        'Minimum share of the upstreams that stays in use despite ejections.',
        '0 to 1',
    ),
}
_POLICY_FLAGS = tuple(POLICY_FLAGS_BY_FIELD.values())
_CHANGE_FLAGS = (EXPECTED_VERSION, REQUESTED_BY)
COMMANDS = (
    settings.Command(
        'create',
        'Create a service.',
        (NAME, SERVICE_ADDRESS, UPSTREAMS, *_POLICY_FLAGS, REQUESTED_BY),
    ),
    settings.Command(
        'change',
        'Change the policy of a service.',
        (NAME, *_POLICY_FLAGS, *_CHANGE_FLAGS),
    ),
    settings.Command(
        'add', 'Add an upstream.', (NAME, NEW_UPSTREAM, *_CHANGE_FLAGS)
    ),
    settings.Command(
        'drain',
        'Stop sending new work to an upstream.',
        (NAME, UPSTREAM_ID, *_CHANGE_FLAGS),
    ),
    settings.Command(
        'remove',
        'Remove a draining upstream.',
        (NAME, UPSTREAM_ID, *_CHANGE_FLAGS),
    ),
    settings.Command('delete', 'Delete a service.', (NAME, *_CHANGE_FLAGS)),
    settings.Command('list', 'List services.', (SHOW_UPSTREAMS,)),
    settings.Command('describe', 'Show one service.', (NAME,)),
    settings.Command(
        'watch',
        'Show changes to services as they happen.',
        (AFTER_VERSION, SHOW_UPSTREAMS),
    ),
    settings.Command(
        'status',
        'Show the configuration version in force in each data centre, and '
        'the evacuated data centres.',
    ),
    settings.Command(
        'evacuate',
        'Send no new work to the upstreams of a data centre.',
        (DATA_CENTRE, REQUESTED_BY),
    ),
    settings.Command(
        'take-back',
        'End the evacuation of a data centre.',
        (DATA_CENTRE, *_CHANGE_FLAGS),
    ),
    settings.Command(
        'check',
        'Check a configuration file before it is sent; needs no server.',
        (FILE, AGAINST, READER),
    ),
)
