#!/bin/bash
# A caller looks up its entry VMs and may cache the answer for lifetime_s.
source "$(dirname "$0")/start.sh"

say "the entry VMs for this caller"
curl -sf "$CALLER/v1/lookup?service=hello"
echo

say "the entry VMs for another address"
curl -sf "$CALLER/v1/lookup?service=hello&address=10.1.2.3"
echo

say "an unknown service"
curl -s "$CALLER/v1/lookup?service=nowhere"
