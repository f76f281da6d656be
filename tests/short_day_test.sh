#!/bin/bash
# Runs a short scenario with faults on real sockets, with edges as separate processes. Then checks the rules again from the
# trace file alone and creates a report of the flow records.
set -euo pipefail
cli=$1 root=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$cli" lab run "$root/scenarios/short-bad-day.json" --folder "$work" --capture --quiet --flow | tee "$work/report"
"$cli" verdict "$work/trace.jsonl"
[[ $(head -c 4 "$work/capture.pcap" | od -An -tx1 | tr -d ' ') == d4c3b2a1 ]]
grep -q '"event":"started"' "$work/edge-0.log"
grep -q '"stands"' "$work/edge-1.metrics.json"
# Edge 0 was not killed, so the counts on the sockets, of the edge and of the collector must be equal.
grep -q "^flows of edge 0: .*they agree$" "$work/report"
grep -q "^flows of edge 1: .*they agree (it was killed)$" "$work/report"
"$cli" flow report "$work/flows-0.ipfix" --split-s 5 --svg "$work/shift.svg" --mark "1.5=exchange 2 is gone" --title "short day" --json >"$work/shift.json"
set_ups=$(sed -n 's/^flows of edge 0: .* \([0-9]*\) set-ups;.*/\1/p' "$work/report")
attempts=$(sed -n 's/^ "attempts": \([0-9]*\),/\1/p' "$work/shift.json")
((set_ups > 0 && attempts >= set_ups))
grep -q "exchange 2 is gone" "$work/shift.svg"
[[ $(tail -n 1 "$work/shift.svg") == "</svg>" ]]
