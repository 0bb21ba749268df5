#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules under review/lib, so nothing has to be built.
# Checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs ./*/case.mjs; do node --check "$file"; done
