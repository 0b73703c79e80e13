#!/bin/bash
# What may not repeat needs an Idempotency-Key and runs at most once: the same
# request again gets the first answer.
source "$(dirname "$0")/start.sh"

order() {
    curl -si "$@" --data "two hoods" "$CALLER/s/hello/orders/7"
    echo
}

say "without a key it is refused"
order | grep -i '^sas-'

say "with a key it runs"
order -H "Idempotency-Key: order-7"

say "sent again: the answer that was kept, Sas-Replayed"
order -H "Idempotency-Key: order-7" | grep -i '^sas-replayed'

say "another request under the same key"
curl -si -H "Idempotency-Key: order-7" --data "three hoods" \
    "$CALLER/s/hello/orders/7" | grep -i '^sas-'

say "how often it ran"
curl -sf "$STANDIN/counts?key=order-7" | grep -o '"started":1' | tail -n 1
