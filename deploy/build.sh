#!/bin/sh
# Installs what a node imports, and beamloom itself with its compiled bytecode, into target/deps, with
# the modules of a start in one file.
# Does nothing where no source is newer than the last build, so that several runs may share one.
set -eu
mkdir -p target
if ! cmp -s deploy/requirements.txt target/installed.txt; then
    rm -rf target/deps target/built
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/installed.txt
fi
if [ ! -e target/built ] || [ -n "$(find src deploy -newer target/built -name '*.*' -print -quit)" ]; then
    touch target/building
    rm -rf target/deps/beamloom target/deps/start.bundle
    cp -R src/beamloom target/deps/beamloom
    python3 -m compileall -q target/deps/beamloom
    PYTHONPATH=target/deps python3 -S -m beamloom.runtime.bundle_writer target/deps/start.bundle
    mv target/building target/built
fi
