#!/usr/bin/env bash
# The stand-ins of these cases are plain Python files that need the standard library only, so nothing
# has to be compiled. Fails if the interpreter or the program under test is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "python3 is too old" >&2; exit 1; }
[ -x target/release/azuregapd ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
