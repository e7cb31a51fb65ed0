"""Starting and terminating the processes of a run."""

import collections.abc
import contextlib
import datetime
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing

_TERMINATE_TIMEOUT = datetime.timedelta(seconds=5)


class Launcher:
    """Starts processes and terminates them, by process id, on `close`.

    Parameters
    ----------
    log_directory : Path
        Directory of the files with the standard error of each process.

    Examples
    --------
    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as directory:
    ...     with Launcher(pathlib.Path(directory)) as launcher:
    ...         process = launcher.start('version', '-m', 'acaciamoor.version')
    ...         process.wait()
    0
    """

    def __init__(self, log_directory: pathlib.Path) -> None:
        self._log_directory = log_directory
        # Includes replaced processes, since their names can be reused.
        self._processes: list[subprocess.Popen] = []
        self._processes_by_name: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python process with `arguments`.

        Parameters
        ----------
        name : str
            Name that identifies the process and its log file.
        arguments : str
            Arguments of the Python interpreter.
        """
        self._log_directory.mkdir(parents=True, exist_ok=True)
        with (self._log_directory / f'{name}.log').open('ab') as log:
            # The arguments come from this program, not from user input.
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self._processes.append(process)
        self._processes_by_name[name] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait until it has ended."""
        process = self._processes_by_name[name]
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes_by_name[name].send_signal(number)

    def process_id(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes_by_name[name].pid

    def wait(self, name: str, timeout: datetime.timedelta) -> int:
        """Wait until a process has ended and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If it still runs after `timeout`.
        """
        process = self._processes_by_name[name]
        return process.wait(timeout.total_seconds())

    def log(self, name: str) -> str:
        """Return what a process has written to its standard error."""
        path = self._log_directory / f'{name}.log'
        return path.read_text(encoding='utf-8')

    def failed_exit_codes(self) -> dict[str, int]:
        """Return the positive exit codes of processes, by name.

        Processes that were ended by a signal are not included.
        """
        return {
            name: process.returncode
            for name, process in self._processes_by_name.items()
            if process.poll() is not None and process.returncode > 0
        }

    def close(self) -> None:
        """Terminate all running processes and wait until they have ended."""
        running = [item for item in self._processes if item.poll() is None]
        for process in running:
            # A stopped process handles SIGTERM only after SIGCONT.
            os.kill(process.pid, signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + _TERMINATE_TIMEOUT.total_seconds()
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, deadline - time.monotonic()))
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait()
            if process.stdout is not None:
                process.stdout.close()

    def running_process_ids(self) -> collections.abc.Sequence[int]:
        """Return the process ids of the processes that are running."""
        return [
            process.pid
            for process in self._processes
            if process.poll() is None
        ]

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
