#!/bin/bash
# The command line: what it says and the exit code it gives, for good and for bad input.
set -uo pipefail
cli=$1 root=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
expect() {  # expect CODE NAME TEXT -- command...
  local code=$1 name=$2 text=$3
  shift 4
  local out
  out=$("$@" 2>&1)
  local got=$?
  if [[ $got -ne $code || $out != *"$text"* ]]; then
    printf 'FAILED %s: exit code %d (expected %d), output without "%s":\n%s\n' "$name" "$got" "$code" "$text" "$out"
    failed=1
  fi
}

expect 0 "help" "Exit codes" -- "$cli" --help
expect 2 "no command" "subcommand is required" -- "$cli"
expect 2 "unknown option" "" -- "$cli" rules --nothing x
expect 3 "missing settings" "cannot read" -- "$cli" config check "$work/none.json"

cat >"$work/wrong.json" <<'JSON'
{"exchange": {"number": -1}, "agent": {"listen": 5}, "gateway": {}, "groups": {}, "classes": [], "plan": [], "network": {"x": 1}}
JSON
expect 3 "wrong settings" "/exchange/number: " -- "$cli" config check "$work/wrong.json"
expect 3 "wrong settings as JSON" '"path": "/network"' -- "$cli" config check --json "$work/wrong.json"

cat >"$work/edge.json" <<'JSON'
{"exchange": {"number": 1}, "agent": {"listen": "127.0.0.1:2727"}, "gateway": {"address": "127.0.0.2:2427", "domain": "gw"},
 "groups": [{"exchange": 2, "circuits": 4}], "classes": [{"name": "a", "give_up_ms": 9000}],
 "plan": [{"prefix": "1", "exchange": 2, "class": "a"}], "network": {}}
JSON
expect 0 "good settings" "fine" -- "$cli" config check "$work/edge.json"
expect 0 "settings with defaults" '"answer_margin_ms": 20' -- "$cli" config show "$work/edge.json"

expect 3 "no trace" "cannot read" -- "$cli" rules "$work/none.jsonl"
echo '{"t":1,"fact":"relief"}' >"$work/empty.jsonl"
expect 3 "a trace of nothing" "names no edge" -- "$cli" rules "$work/empty.jsonl"
echo 'not json' >"$work/broken.jsonl"
expect 3 "a broken trace" "broken.jsonl:1: expected a JSON object" -- "$cli" rules "$work/broken.jsonl"
cat >"$work/bad.jsonl" <<'JSON'
{"t":0,"fact":"day","figures":{"edges":[{"exchange":0,"edge":"127.0.0.1:2727","gateway":"127.0.0.2:2427"}],"release_ms":300,"drain_grace_ms":500}}
{"t":1000,"from":"127.0.0.1:2727","to":"127.0.0.2:2427","text":"RQNT 5 aaln/1@gw MGCP 1.0\r\nX-Answer: refused\r\n"}
JSON
expect 1 "a trace with a broken rule" "BROKEN" -- "$cli" rules "$work/bad.jsonl"
expect 1 "the same as JSON" '"kept": false' -- "$cli" rules --json "$work/bad.jsonl"

expect 0 "a day converted" "ageing" -- "$cli" day convert "$root/tests/data/day.json" -o "$work/day.json" --edges 3 --rate 20
for text in '"kind": "crash"' '"kind": "circuits-lost"' '"kind": "roster-late"' '"exchanges": 3' '"size": 0.5' '"size": 2500'; do
  grep -q -- "$text" "$work/day.json" || { echo "FAILED converted day lacks $text"; failed=1; }
done
expect 3 "no day" "not a day file" -- "$cli" day convert "$work/edge.json"
expect 3 "no scenario" "Missing required property 'fleet'" -- "$cli" lab run "$work/edge.json" --folder "$work/out"
exit "$failed"
