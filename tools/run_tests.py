"""Runs the unit tests and reports tests listed in ``KNOWN-RED.txt``.

A test named in ``KNOWN-RED.txt`` may fail without failing the run. Every other
failure fails the run, and so does a listed test that passes or does not exist,
so that the list cannot go stale.
"""

import argparse
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '
# Packages with tests, and the directory that they are imported from.
TEST_PACKAGES = (
    ('acaciamoor', ROOT),
    ('acaciamoor_site', ROOT / 'platform'),
)


def read_known_red(path: pathlib.Path) -> frozenset[str]:
    """Return the identifiers of tests that are listed as failing."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the identifiers of all tests that failed or raised."""
    cases = [case for case, _ in result.failures + result.errors]
    cases.extend(result.unexpectedSuccesses)
    return {_test_id(case) for case in cases}


def _test_id(case: unittest.TestCase) -> str:
    # Sub-tests carry their parameters behind the identifier of the test.
    parent = getattr(case, 'test_case', case)
    return parent.id()


def _all_ids(suite: unittest.TestSuite) -> set[str]:
    found = set()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            found |= _all_ids(item)
        else:
            found.add(item.id())
    return found


def _discover(pattern: str) -> unittest.TestSuite:
    # One loader each: a loader keeps the first top-level directory.
    suite = unittest.TestSuite()
    for package, top_level in TEST_PACKAGES:
        suite.addTests(
            unittest.TestLoader().discover(
                str(top_level / package),
                pattern=pattern,
                top_level_dir=str(top_level),
            )
        )
    return suite


def main() -> int:
    """Run the tests and return the process exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--pattern', default='test_*.py')
    options = parser.parse_args()
    known_red = read_known_red(KNOWN_RED)
    suite = _discover(options.pattern)
    present = _all_ids(suite)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = failed_ids(result)
    return _report(result, failed, known_red & present, known_red - present)


def _report(
    result: unittest.TestResult,
    failed: set[str],
    known_red: frozenset[str],
    absent: frozenset[str],
) -> int:
    for name in sorted(failed & known_red):
        print(f'known red: {name}')
    stale = sorted(known_red - failed)
    for name in stale:
        print(f'listed in KNOWN-RED.txt but passes: {name}')
    for name in sorted(absent):
        print(f'listed in KNOWN-RED.txt but not found: {name}')
    unexpected = failed - known_red
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f'{passed} passed, {len(unexpected)} failed, {skipped} skipped')
    return 1 if unexpected or stale or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
