"""Puts the hosts' program and a link to its interpreter in place.

Files are replaced one by one and only where they differ, so that processes
that start from the folder meanwhile never find a module missing.
"""

import os
import pathlib
import shutil
import sys

PACKAGES = ('acaciamoor', 'platform/acaciamoor_site')


def stage(source: pathlib.Path, target: pathlib.Path) -> None:
    """Make `target` hold the files of the package `source`."""
    wanted = {
        path.relative_to(source)
        for path in source.rglob('*')
        if path.is_file() and '__pycache__' not in path.parts
    }
    for name in sorted(wanted):
        _replace(source / name, target / name)
    for path in target.rglob('*'):
        name = path.relative_to(target)
        # Hidden files are those that another build is about to rename.
        hidden = '__pycache__' in path.parts or path.name.startswith('.')
        if path.is_file() and not hidden and name not in wanted:
            path.unlink(missing_ok=True)


def _replace(source: pathlib.Path, target: pathlib.Path) -> None:
    if target.exists() and target.read_bytes() == source.read_bytes():
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    partial = target.with_name(f'.{target.name}.{os.getpid()}')
    shutil.copyfile(source, partial)
    partial.replace(target)


def link_interpreter(link: pathlib.Path) -> None:
    """Make `link` lead to the interpreter that runs this build.

    The `python3` of a version manager is a script that looks for the
    interpreter first, which costs every start of a host about 50 ms of
    processor time.
    """
    interpreter = pathlib.Path(sys.executable).resolve()
    if link.is_symlink() and link.readlink() == interpreter:
        return
    link.parent.mkdir(parents=True, exist_ok=True)
    partial = link.with_name(f'.{link.name}.{os.getpid()}')
    partial.symlink_to(interpreter)
    partial.replace(link)


def main() -> int:
    """Stage all packages into the folder that is given."""
    target = pathlib.Path(sys.argv[1])
    link_interpreter(target.parent / 'python')
    for package in PACKAGES:
        source = pathlib.Path(package)
        stage(source, target / source.name)
    return 0


if __name__ == '__main__':
    sys.exit(main())
