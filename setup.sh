#!/bin/sh
# Installs the packages unless that has been done. Commands that start at the same moment in a clean
# checkout install them once. Packages that belong to another kind of machine are installed again.
set -u
cd "$(dirname "$0")" || exit 1

is_installed() {
  node_modules/.bin/esbuild --version >/dev/null 2>&1 && [ -e node_modules/.package-lock.json ]
}

# The lock ends with this shell. Linux always has the command; elsewhere one command runs at a time.
if command -v flock >/dev/null; then
  exec 9<package-lock.json
  flock 9
fi
is_installed || npm ci --no-audit --no-fund --silent
