#!/usr/bin/env bash
# Checks the format of all C++ files, and runs clang-tidy on the sources outside
# test/ and examples/.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run --Werror
git ls-files 'src/*.cc' 'platform/*.cc' 'apps/*.cc' 'standins/*.cc' 'bench/*.cc' \
  'soak/*.cc' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release \
    2> >(grep -v 'warnings generated' >&2)
echo "lint: clean"
