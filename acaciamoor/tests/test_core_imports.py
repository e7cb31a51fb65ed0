"""The decision core stays free of sockets, event loops and wall clocks."""

import ast
import pathlib
import subprocess
import sys
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent
PURE_PACKAGES = (
    'balancer/core',
    'configuration',
    'directory',
    'findings',
    'flows',
    'hashing',
    'membership',
    'model',
    'openings',
    'placement',
    'replica',
    'requests',
    'tokens',
    'views',
)
PURE_MODULES = (
    'forwarder/core.py',
    'forwarder/effects.py',
    'forwarder/packet.py',
    'forwarder/sync_status.py',
)
FORBIDDEN = frozenset(
    ['aiohttp', 'asyncio', 'grpc', 'selectors', 'socket', 'threading', 'time']
)

HEAVY = frozenset(
    [
        'aiohttp',
        'grpc',
        'numpy',
        'opentelemetry',
        'prometheus_client',
        'pydantic',
        'reactivex',
    ]
)

# Packages that only hosts of the data path load. They use msgspec's structs:
# the methods of a data class are generated at each start of a process.
DATA_PATH_PACKAGES = (
    'directory',
    'forwarder',
    'openings',
    'replica',
    'tokens',
)


def imported_modules(path: pathlib.Path) -> set[str]:
    """Return the top-level names of all modules that `path` imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition('.')[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition('.')[0])
    return names


class CoreImportsTest(unittest.TestCase):
    def test_decision_core_imports_no_input_or_output(self):
        """Guards against a decision that depends on real time or sockets."""
        paths = [PACKAGE / module for module in PURE_MODULES]
        for package in PURE_PACKAGES:
            paths.extend(sorted((PACKAGE / package).rglob('*.py')))
        for path in paths:
            with self.subTest(path=str(path.relative_to(PACKAGE))):
                self.assertEqual(set(), imported_modules(path) & FORBIDDEN)

    def test_forwarder_starts_without_heavy_libraries(self):
        """Guards against imports that delay hosts which start in numbers."""
        program = (
            'import sys\n'
            'import acaciamoor.forwarder.shell\n'
            'import acaciamoor.platform.polling\n'
            'print(*sys.modules)'
        )
        ended = subprocess.run(
            [sys.executable, '-c', program],
            cwd=PACKAGE.parent,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        loaded = set(ended.stdout.split())
        self.assertEqual(set(), loaded & HEAVY)

    def test_data_path_generates_no_code_at_its_start(self):
        """Guards against data classes that delay hosts which start."""
        for package in DATA_PATH_PACKAGES:
            for path in sorted((PACKAGE / package).rglob('*.py')):
                if 'tests' in path.relative_to(PACKAGE).parts:
                    continue
                with self.subTest(path=str(path.relative_to(PACKAGE))):
                    self.assertNotIn('dataclasses', imported_modules(path))
