"""Restrictions on the imports of the decision core and the data path."""

import ast
import pathlib
import subprocess
import sys
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent
PURE_PACKAGES = (
    'admission',
    'balancer/core',
    'configuration',
    'configuration_check',
    'directory',
    'evidence',
    'findings',
    'flows',
    'hashing',
    'load_reports',
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
# Modules for sockets, event loops, threads and wall clocks.
FORBIDDEN_MODULES = frozenset(
    ['aiohttp', 'asyncio', 'grpc', 'selectors', 'socket', 'threading', 'time']
)

# Libraries that take long to import.
HEAVY_LIBRARIES = frozenset(
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

# Packages that only hosts of the data path load. They use msgspec structs, as
# the methods of data classes are generated at each start of a process.
DATA_PATH_PACKAGES = (
    'admission',
    'directory',
    'evidence',
    'forwarder',
    'load_reports',
    'openings',
    'replica',
    'tokens',
)


def find_imported_modules(path: pathlib.Path) -> set[str]:
    """Return the top-level names of the modules that `path` imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding='utf-8'))):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition('.')[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition('.')[0])
    return names


class CoreImportsTest(unittest.TestCase):
    def test_decision_core_imports_no_forbidden_modules(self):
        """Guards against decisions that depend on wall clocks or sockets."""
        paths = [PACKAGE / module for module in PURE_MODULES]
        for package in PURE_PACKAGES:
            paths.extend(sorted((PACKAGE / package).rglob('*.py')))
        for path in paths:
            with self.subTest(path=str(path.relative_to(PACKAGE))):
                self.assertEqual(
                    set(), find_imported_modules(path) & FORBIDDEN_MODULES
                )

    def test_forwarder_starts_without_heavy_libraries(self):
        """Guards against imports that delay hosts when many start at once."""
        program = (
            'import sys\n'
            'import acaciamoor.forwarder.shell\n'
            'import acaciamoor.platform.polling\n'
            'print(*sys.modules)'
        )
        result = subprocess.run(
            [sys.executable, '-c', program],
            cwd=PACKAGE.parent,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        imported = set(result.stdout.split())
        self.assertEqual(set(), imported & HEAVY_LIBRARIES)

    def test_data_path_uses_no_data_classes(self):
        """Guards against data classes, which delay the start of hosts."""
        for package in DATA_PATH_PACKAGES:
            for path in sorted((PACKAGE / package).rglob('*.py')):
                if 'tests' in path.relative_to(PACKAGE).parts:
                    continue
                with self.subTest(path=str(path.relative_to(PACKAGE))):
                    self.assertNotIn(
                        'dataclasses', find_imported_modules(path)
                    )
