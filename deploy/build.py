"""Builds what the platform runs: dependencies and sources below `target/`.

A build may run beside processes that start, beside another build, and in a
folder that comes from another machine. So builds wait for each other, files
are replaced one at a time and only if they differ, and dependencies are
installed again if they were built by another Python or for another machine.
"""

from __future__ import annotations

import compileall
import fcntl
import hashlib
import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig

_TARGET = pathlib.Path("target")
_DEPS = _TARGET / "deps"
_REQUIREMENTS = pathlib.Path("deploy/requirements.txt")
# Holds the key of the installed dependencies.
_STAMP = ".built"
_SOURCES = {
    pathlib.Path("catkinpin"): pathlib.Path("catkinpin"),
    pathlib.Path("platform"): pathlib.Path("../platform"),
}


def main() -> None:
    """Builds in the current folder, the root of the repository."""
    _TARGET.mkdir(exist_ok=True)
    with (_TARGET / ".lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        key = _dependency_key()
        if not _has_stamp(key):
            _install_dependencies(key)
        for source, target in _SOURCES.items():
            update_tree(source, _DEPS / target)
        is_compiled = compileall.compile_dir(_TARGET, quiet=1)
    sys.exit(0 if is_compiled else 1)


def _dependency_key() -> str:
    """Returns a digest of all that installed dependencies depend on."""
    parts = [_REQUIREMENTS.read_text(), sys.version, sysconfig.get_platform()]
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _has_stamp(key: str) -> bool:
    stamp = _DEPS / _STAMP
    return stamp.is_file() and stamp.read_text(errors="replace") == key


def _install_dependencies(key: str) -> None:
    """Installs the dependencies in a new folder, which replaces the old one."""
    new, old = _TARGET / "deps.new", _TARGET / "deps.old"
    for folder in (new, old):
        shutil.rmtree(folder, ignore_errors=True)
    new.mkdir()
    command = [sys.executable, "-m", "pip", "install", "-q", "-U"]
    command += ["--target", str(new), "-r", str(_REQUIREMENTS)]
    subprocess.run(command, check=True)
    update_tree(pathlib.Path("catkinpin"), new / "catkinpin")
    (new / _STAMP).write_text(key)
    if _DEPS.exists():
        _DEPS.rename(old)
    new.rename(_DEPS)
    shutil.rmtree(old, ignore_errors=True)


def update_tree(source: pathlib.Path, target: pathlib.Path) -> None:
    """Makes a folder equal to another one, a file at a time."""
    paths = {
        path.relative_to(source)
        for path in source.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    }
    for path in sorted(paths):
        _replace_file(source / path, target / path)
    for path in sorted(target.rglob("*"), reverse=True):
        if path.is_dir():
            if not any(path.iterdir()):
                path.rmdir()
        elif _source_of(path.relative_to(target)) not in paths:
            path.unlink()


def _replace_file(source: pathlib.Path, target: pathlib.Path) -> None:
    """Replaces a file in one step, if it differs."""
    content = source.read_bytes()
    if target.is_file() and target.read_bytes() == content:
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    # A file that changes twice within a second would keep its old bytecode.
    compiled = pathlib.Path(importlib.util.cache_from_source(str(target)))
    compiled.unlink(missing_ok=True)
    new = target.with_name(target.name + ".new")
    new.write_bytes(content)
    os.replace(new, target)


def _source_of(path: pathlib.Path) -> pathlib.Path:
    """Returns the source of bytecode, and any other file itself."""
    if path.parent.name != "__pycache__":
        return path
    return path.parent.parent / (path.name.partition(".")[0] + ".py")


if __name__ == "__main__":
    main()
