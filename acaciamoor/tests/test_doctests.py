"""Runs the examples in docstrings."""

import doctest
import importlib
import pkgutil
import unittest

import acaciamoor


def load_tests(loader, tests, pattern):
    """Add the doctests of all modules but tests and generated code."""
    for module in pkgutil.walk_packages(acaciamoor.__path__, 'acaciamoor.'):
        name = module.name
        if '.tests' in name or name.endswith(('__main__', '_grpc', '_pb2')):
            continue
        tests.addTests(doctest.DocTestSuite(importlib.import_module(name)))
    return tests


if __name__ == '__main__':
    unittest.main()
