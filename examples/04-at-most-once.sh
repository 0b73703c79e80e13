#!/bin/bash
# Requests that must not run twice need an Idempotency-Key and run at most
# once: a retry with the same key gets the stored first answer.
source "$(dirname "$0")/start.sh"

order() {
    curl -si "$@" --data "two hoods" "$CALLER/s/hello/orders/7"
    echo
}

say "without a key it is refused"
order | grep -i '^sas-'

say "with a key it runs"
order -H "Idempotency-Key: order-7"

say "a retry: the stored answer, with Sas-Replayed"
order -H "Idempotency-Key: order-7" | grep -i '^sas-replayed'

say "another request under the same key"
curl -si -H "Idempotency-Key: order-7" --data "three hoods" \
    "$CALLER/s/hello/orders/7" | grep -i '^sas-'

say "how often it ran"
curl -sf "$STANDIN/counts?key=order-7" | grep -o '"started":1' | tail -n 1
