"""The committed code of the API matches its schema."""

import importlib.util
import pathlib
import tempfile
import unittest

HAS_COMPILER = importlib.util.find_spec('grpc_tools') is not None


class GeneratedTest(unittest.TestCase):
    @unittest.skipUnless(HAS_COMPILER, 'grpcio-tools is not installed')
    def test_committed_code_matches_the_schema(self):
        """Guards against a schema that was changed without its code."""
        from tools import generate

        with tempfile.TemporaryDirectory() as directory:
            output = pathlib.Path(directory)
            generate.generate(output)
            for name in generate.GENERATED:
                with self.subTest(name=name):
                    self.assertEqual(
                        (output / name).read_text(encoding='utf-8'),
                        (generate.ROOT / name).read_text(encoding='utf-8'),
                    )
