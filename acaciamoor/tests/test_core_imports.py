"""The decision core stays free of sockets, event loops and wall clocks."""

import ast
import pathlib
import unittest

PACKAGE = pathlib.Path(__file__).resolve().parent.parent
PURE_PACKAGES = (
    'balancer/core',
    'configuration',
    'findings',
    'flows',
    'hashing',
    'membership',
    'model',
    'placement',
    'requests',
    'views',
)
FORBIDDEN = frozenset(
    ['aiohttp', 'asyncio', 'grpc', 'selectors', 'socket', 'threading', 'time']
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
        for package in PURE_PACKAGES:
            for path in sorted((PACKAGE / package).rglob('*.py')):
                with self.subTest(path=str(path.relative_to(PACKAGE))):
                    self.assertEqual(set(), imported_modules(path) & FORBIDDEN)
