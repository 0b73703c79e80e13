#!/bin/bash
# Runs clang-tidy and cppcheck on the C sources; $1: build folder (build).
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files --cached --others --exclude-standard -- '*.c' |
    grep -v '/generated/' |
    xargs -r -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" 2>/tmp/sas-tidy.$$ ||
    { cat /tmp/sas-tidy.$$; rm -f /tmp/sas-tidy.$$; exit 1; }
rm -f /tmp/sas-tidy.$$
git ls-files --cached --others --exclude-standard -- 'packages/*.c' 'platform/*.c' 'tools/*.c' |
    grep -v '/generated/' |
    xargs -r cppcheck --quiet --error-exitcode=1 --inline-suppr \
        --enable=warning,performance,portability --std=c11 \
        --suppress=missingIncludeSystem -j "$(nproc)" \
        -I packages/core/include
