#!/bin/sh
# Builds what the scripts of this review start beside the deploy file's
# program. The stand-ins, the project's own too, are Python and need no build:
# this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[4-8]/*.py tests/e2e/harness.py \
    tests/e2e/entry_harness.py tests/e2e/cut_links.py tests/standins/proxy.py \
    tests/standins/rows.py tests/standins/workers.py \
    tests/standins/answers.py; do
    /usr/bin/python3 -c 'import sys; compile(open(sys.argv[1]).read(),
                         sys.argv[1], "exec")' "$file"
done
echo "the stand-ins can be loaded"
