#!/bin/sh
# Builds the stand-ins of the cases: plain Python of the deploy file's environment, so it only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
