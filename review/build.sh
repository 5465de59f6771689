#!/usr/bin/env bash
# The scripts' stand-ins are Python without dependencies: nothing to build, only to check.
# `citron-platform` comes from the build line of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B -c 'import ast, glob
for path in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(path, encoding="utf-8").read(), path)'
