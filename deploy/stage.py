"""Copies the packages that the hosts run and links their interpreter.

Only files that differ are replaced, one by one and by renaming, so that no
module is missing for processes that start during a build.
"""

import os
import pathlib
import shutil
import sys

PACKAGES = ('acaciamoor', 'platform/acaciamoor_site')


def stage(source: pathlib.Path, target: pathlib.Path) -> None:
    """Make `target` a copy of the package `source`."""
    source_files = {
        path.relative_to(source)
        for path in source.rglob('*')
        if path.is_file() and '__pycache__' not in path.parts
    }
    for name in sorted(source_files):
        _copy_if_different(source / name, target / name)
    for path in target.rglob('*'):
        name = path.relative_to(target)
        # Hidden files are temporary files of another build.
        ignored = '__pycache__' in path.parts or path.name.startswith('.')
        if path.is_file() and not ignored and name not in source_files:
            path.unlink(missing_ok=True)


def _copy_if_different(source: pathlib.Path, target: pathlib.Path) -> None:
    if target.exists() and target.read_bytes() == source.read_bytes():
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    temporary = target.with_name(f'.{target.name}.{os.getpid()}')
    shutil.copyfile(source, temporary)
    temporary.replace(target)


def link_interpreter(link: pathlib.Path) -> None:
    """Make `link` point to the interpreter that runs this build.

    The `python3` of a version manager is a wrapper script that first looks for
    the interpreter, which takes about 50 ms of CPU time at each start of a
    host.
    """
    interpreter = pathlib.Path(sys.executable).resolve()
    if link.is_symlink() and link.readlink() == interpreter:
        return
    link.parent.mkdir(parents=True, exist_ok=True)
    temporary = link.with_name(f'.{link.name}.{os.getpid()}')
    temporary.symlink_to(interpreter)
    temporary.replace(link)


def main() -> int:
    """Stage the interpreter and all packages; return the exit code.

    The first argument is the directory for the packages. The link to the
    interpreter is created in its parent.
    """
    target = pathlib.Path(sys.argv[1])
    link_interpreter(target.parent / 'python')
    for package in PACKAGES:
        source = pathlib.Path(package)
        stage(source, target / source.name)
    return 0


if __name__ == '__main__':
    sys.exit(main())
