"""Runs the unit tests and tolerates failures listed in ``KNOWN-RED.txt``.

A test named in ``KNOWN-RED.txt`` may fail without failing the run. Every other
failure fails the run, and so does a listed test that passes, so that the list
stays up to date. Listed tests that are not found are only reported.
"""

import argparse
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '
# Packages with tests and the directories that they are imported from.
TEST_PACKAGES = (
    ('acaciamoor', ROOT),
    ('acaciamoor_site', ROOT / 'platform'),
)


def read_known_red_ids(path: pathlib.Path) -> frozenset[str]:
    """Return the identifiers of the tests that `path` lists as failing."""
    if not path.exists():
        return frozenset()
    lines = path.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    )


def get_failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the identifiers of tests that failed.

    These include tests with errors and with unexpected successes.
    """
    cases = [case for case, _ in result.failures + result.errors]
    cases.extend(result.unexpectedSuccesses)
    return {_get_test_id(case) for case in cases}


def _get_test_id(case: unittest.TestCase) -> str:
    # The identifier of a sub-test also contains its parameters.
    test = getattr(case, 'test_case', case)
    return test.id()


def _collect_ids(suite: unittest.TestSuite) -> set[str]:
    ids = set()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            ids |= _collect_ids(item)
        else:
            ids.add(item.id())
    return ids


def _discover_tests(pattern: str) -> unittest.TestSuite:
    # A loader keeps its first top-level directory, so each needs its own one.
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
    known_red = read_known_red_ids(KNOWN_RED)
    suite = _discover_tests(options.pattern)
    discovered = _collect_ids(suite)
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = get_failed_ids(result)
    return _report(
        result, failed, known_red & discovered, known_red - discovered
    )


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
