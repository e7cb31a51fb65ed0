"""Settings from flags and environment variables, and exit codes."""

from acaciamoor.settings.exit_codes import ExitCode
from acaciamoor.settings.exit_codes import report_findings
from acaciamoor.settings.exit_codes import run_program
from acaciamoor.settings.flags import Flag
from acaciamoor.settings.flags import RequiredFlag
from acaciamoor.settings.parser import Command
from acaciamoor.settings.parser import SettingsParser
from acaciamoor.settings.types import address
from acaciamoor.settings.types import boolean
from acaciamoor.settings.types import choice
from acaciamoor.settings.types import duration
from acaciamoor.settings.types import integer
from acaciamoor.settings.types import number
from acaciamoor.settings.types import optional
from acaciamoor.settings.types import path
from acaciamoor.settings.types import several
from acaciamoor.settings.types import text
from acaciamoor.settings.values import Settings

__all__ = [
    'Command',
    'ExitCode',
    'Flag',
    'RequiredFlag',
    'Settings',
    'SettingsParser',
    'address',
    'boolean',
    'choice',
    'duration',
    'integer',
    'number',
    'optional',
    'path',
    'report_findings',
    'run_program',
    'several',
    'text',
]
