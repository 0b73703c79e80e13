#!/bin/bash
# A caller asks which entry VMs to use, and keeps the answer for lifetime_s.
source "$(dirname "$0")/start.sh"

say "which entry VMs for this caller?"
curl -sf "$CALLER/v1/lookup?service=hello"
echo

say "on behalf of another address"
curl -sf "$CALLER/v1/lookup?service=hello&address=10.1.2.3"
echo

say "a service that nobody knows"
curl -s "$CALLER/v1/lookup?service=nowhere"
