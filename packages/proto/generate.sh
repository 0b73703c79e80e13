#!/bin/bash
# Writes the XDR code of peer_rpc.x anew (rpcgen, package rpcsvc-proto).
set -eu
cd "$(dirname "$0")"
header=include/sas/generated/peer_rpc.h
source=src/generated/peer_rpc_xdr.c
rm -f "$header" "$source"
rpcgen -h -o "$header" peer_rpc.x
rpcgen -c -o "$source" peer_rpc.x
sed -i 's|#include "peer_rpc.h"|#include "sas/generated/peer_rpc.h"|' "$source"
