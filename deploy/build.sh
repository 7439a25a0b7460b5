#!/bin/sh
# Put the daemon and what it needs under target/deps. Needs Python 3.11 and pip.
set -eu
packages=target/deps
wanted=target/requirements.txt
if ! cmp -s requirements/runtime.txt "$wanted"; then
  python3 -m pip install -q -U --target "$packages" -r requirements/runtime.txt
  cp requirements/runtime.txt "$wanted"
fi
# Built from a copy: building leaves files beside the sources.
rm -rf target/packages
mkdir -p target/packages
cp -R packages/schema packages/daemon target/packages/
python3 -m pip install -q -U --no-deps --target "$packages" \
  target/packages/schema target/packages/daemon
# A process must not compile modules again where times of files have changed on the way
# to its machine: it cannot write there, so each start would.
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$packages"
