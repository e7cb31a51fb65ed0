"""Generates the Python code of the operator API from its schema."""

import argparse
import pathlib
import sys

from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_SCHEMA = 'acaciamoor/operator/operator.proto'
GENERATED = (
    'acaciamoor/operator/operator_pb2.py',
    'acaciamoor/operator/operator_pb2_grpc.py',
)


def generate(output: pathlib.Path) -> None:
    """Write the generated code of the operator API below `output`.

    Raises
    ------
    RuntimeError
        If the schema cannot be compiled.
    """
    well_known_types = pathlib.Path(protoc.__file__).parent / '_proto'
    status = protoc.main(
        [
            'protoc',
            f'--proto_path={ROOT}',
            f'--proto_path={well_known_types}',
            f'--python_out={output}',
            f'--grpc_python_out={output}',
            OPERATOR_SCHEMA,
        ]
    )
    if status:
        raise RuntimeError(f'protoc failed with status {status}')


def main() -> int:
    """Generate the code in the source tree; return the process exit code."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    generate(ROOT)
    return 0


if __name__ == '__main__':
    sys.exit(main())
