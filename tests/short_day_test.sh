#!/bin/bash
# A short bad day on real sockets, edges as processes of their own; then the verdict again from the trace file alone.
set -euo pipefail
cli=$1 root=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$cli" lab run "$root/scenarios/short-bad-day.json" --folder "$work" --capture --quiet
"$cli" verdict "$work/trace.jsonl"
[[ $(head -c 4 "$work/capture.pcap" | od -An -tx1 | tr -d ' ') == d4c3b2a1 ]]
grep -q '"event":"started"' "$work/edge-0.log"
grep -q '"stands"' "$work/edge-1.metrics.json"
