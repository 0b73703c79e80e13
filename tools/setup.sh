#!/bin/bash
# Installs the missing Debian packages of tools/packages.txt.
set -eu
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
    if ! dpkg-query -W -f='${Status}' "$name" 2>/dev/null |
        grep -q 'install ok installed'; then
        missing+=("$name")
    fi
done < tools/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update
    apt-get install -y --no-install-recommends "${missing[@]}"
fi
