#!/bin/bash
# Checks the formatting of all C and C++ sources; --fix reformats them.
set -eu
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard -- '*.c' '*.h' '*.cpp' |
    grep -v '/generated/' | xargs -r clang-format "${mode[@]}"
