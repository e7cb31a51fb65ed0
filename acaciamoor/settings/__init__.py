"""Settings and exit codes of programs."""

from acaciamoor.settings.converters import address
from acaciamoor.settings.converters import boolean
from acaciamoor.settings.converters import choice
from acaciamoor.settings.converters import duration
from acaciamoor.settings.converters import integer
from acaciamoor.settings.converters import number
from acaciamoor.settings.converters import optional
from acaciamoor.settings.converters import path
from acaciamoor.settings.converters import repeatable
from acaciamoor.settings.converters import text
from acaciamoor.settings.exit_codes import ExitCode
from acaciamoor.settings.exit_codes import report_findings
from acaciamoor.settings.exit_codes import run_program
from acaciamoor.settings.flags import Flag
from acaciamoor.settings.flags import RequiredFlag
from acaciamoor.settings.parser import Command
from acaciamoor.settings.parser import SettingsParser
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
    'repeatable',
    'report_findings',
    'run_program',
    'text',
]
