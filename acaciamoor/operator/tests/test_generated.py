"""Consistency of the generated gRPC code with its schema."""

import pathlib
import tempfile
import unittest

from tools import generate


class GeneratedTest(unittest.TestCase):
    def test_committed_code_matches_the_schema(self):
        """Guards against a changed schema whose code was not regenerated."""
        with tempfile.TemporaryDirectory() as directory:
            output = pathlib.Path(directory)
            generate.generate(output)
            for name in generate.GENERATED:
                with self.subTest(name=name):
                    self.assertEqual(
                        (output / name).read_text(encoding='utf-8'),
                        (generate.ROOT / name).read_text(encoding='utf-8'),
                    )
