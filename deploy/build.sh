#!/bin/sh
# Installs what a node imports, and beamloom itself with its compiled bytecode, into target/deps.
set -eu
mkdir -p target
if ! cmp -s deploy/requirements.txt target/installed.txt; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt target/installed.txt
fi
rm -rf target/deps/beamloom
cp -R src/beamloom target/deps/beamloom
python3 -m compileall -q target/deps/beamloom
