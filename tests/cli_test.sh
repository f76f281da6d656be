#!/bin/bash
# Tests the output and exit codes of the command line for valid and invalid input.
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
expect 2 "unknown option" "" -- "$cli" verdict --nothing x
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

# Flow export: all errors are reported at once, each with its JSON path.
sed 's|"network": {}}|"network": {}, "flow": {"collectors": [\
  {"address": "127.0.0.1:1", "transport": "tls"}, {"address": "x"}, {"address": "127.0.0.1:2", "tls": {"authorities": "a.pem"}},\
  {"address": "127.0.0.1:3", "transport": "tls", "tls": {"authorities": "a.pem", "key": "k.pem"}},\
  {"address": "127.0.0.1:4", "spool": {"folder": "s"}}, {"address": "127.0.0.1:5", "spool": {"folder": "s"}},\
  {"address": "127.0.0.1:6", "transport": "tcp", "protocol": "netflow9"}]}}|' "$work/edge.json" >"$work/flow.json"
expect 3 "TLS without authorities" "/flow/collectors/0/tls: expected authorities" -- "$cli" config check "$work/flow.json"
expect 3 "no address" '/flow/collectors/1/address: expected an address as 127.0.0.1:4739, found "x"' -- "$cli" config check "$work/flow.json"
expect 3 "TLS files beside UDP" "/flow/collectors/2/tls: expected transport tls beside it, found udp" -- "$cli" config check "$work/flow.json"
expect 3 "a key alone" "/flow/collectors/3/tls: expected certificate and key together" -- "$cli" config check "$work/flow.json"
expect 3 "two spools in one folder" '/flow/collectors/5/spool/folder: expected a folder of its own' -- "$cli" config check "$work/flow.json"
expect 3 "NetFlow over TCP" "/flow/collectors/6/protocol: expected ipfix over tcp" -- "$cli" config check "$work/flow.json"
expect 3 "no flow file" "cannot read" -- "$cli" flow decode "$work/none.ipfix"
printf 'not a message at all' >"$work/wrong.ipfix"
expect 3 "not a flow message" "octet 0: " -- "$cli" flow report "$work/wrong.ipfix" --split-ms 1
: >"$work/empty.ipfix"
expect 2 "a mark without a text" "expected SECONDS=TEXT" -- "$cli" flow report "$work/empty.ipfix" --svg "$work/x.svg" --mark 15
expect 4 "a chart in a missing folder" "cannot write" -- "$cli" flow report "$work/empty.ipfix" --svg "$work/none/x.svg"
expect 2 "a certificate without its key" "requires --key" -- "$cli" flow decode 127.0.0.1:24799 --certificate "$work/c.pem"

expect 3 "no trace" "cannot read" -- "$cli" verdict "$work/none.jsonl"
echo '{"t":1,"fact":"relief"}' >"$work/empty.jsonl"
expect 3 "a trace without edges" "names no edge" -- "$cli" verdict "$work/empty.jsonl"
echo 'not json' >"$work/broken.jsonl"
expect 3 "a broken trace" "broken.jsonl:1: expected a JSON object" -- "$cli" verdict "$work/broken.jsonl"
cat >"$work/bad.jsonl" <<'JSON'
{"t":0,"fact":"day","figures":{"edges":[{"exchange":0,"edge":"127.0.0.1:2727","gateway":"127.0.0.2:2427"}],"release_ms":300,"drain_grace_ms":500}}
{"t":1000,"from":"127.0.0.1:2727","to":"127.0.0.2:2427","text":"RQNT 5 aaln/1@gw MGCP 1.0\r\nX-Answer: refused\r\n"}
JSON
expect 1 "a trace with a broken rule" "BROKEN" -- "$cli" verdict "$work/bad.jsonl"
expect 1 "the same as JSON" '"kept": false' -- "$cli" verdict --json "$work/bad.jsonl"

expect 0 "a day converted" "left out, without a counterpart here: moon_phase" -- "$cli" day convert "$root/tests/data/day.json" -o "$work/day.json" --edges 3 --rate 20
for text in '"kind": "crash"' '"kind": "circuits-lost"' '"kind": "roster-late"' '"exchanges": 3' '"size": 0.5' '"size": 2500' '"kind": "ageing"' '"kind": "edge-stall"' '"kind": "retry-abuse"'; do
  grep -q -- "$text" "$work/day.json" || { echo "FAILED converted day lacks $text"; failed=1; }
done
expect 3 "not a day file" "not a day file" -- "$cli" day convert "$work/edge.json"
expect 3 "not a scenario" "Missing required property 'fleet'" -- "$cli" lab run "$work/edge.json" --folder "$work/out"
for name in booking permits jobboard; do
  rules=$root/examples/rules/$name.rules settings=$root/examples/rules/$name.json
  expect 0 "$name: rules check" "fine: " -- "$cli" rules check "$rules" --settings "$settings"
  expect 0 "$name: rules test" "examples hold" -- "$cli" rules test "$rules" --settings "$settings"
done
booking=("$root/examples/rules/booking.rules" --settings "$root/examples/rules/booking.json")
expect 0 "explain a match" "so: class = slot-hold, customer = crew-leads, priority = 8" -- "$cli" rules explain "${booking[@]}" \
  --call 'called = "2100", class = slot-hold, line = 410'
expect 0 "explain a mismatch" "no, as this does not hold: line in 400 .. 459" -- "$cli" rules explain "${booking[@]}" \
  --call 'called = "2100", class = slot-hold, line = 9'
expect 3 "explain with a misspelt attribute" "did you mean 'called'" -- "$cli" rules explain "${booking[@]}" --call 'caled = "2"'
expect 0 "rules bench" "ns a call" -- "$cli" rules bench "${booking[@]}" --calls 1000
sed 's/expect area;/expect crew;/' "$root/examples/rules/booking.rules" >"$work/untrue.rules"
expect 1 "an example that does not hold" "expected crew, found area" -- "$cli" rules test "$work/untrue.rules" --settings "$root/examples/rules/booking.json"
printf 'rule a when class == slot-hodl then redial;\nrule b when line > 5 then redial;\n' >"$work/faulty.rules"
expect 3 "faulty rules" "1:22: expected a word of class, found 'slot-hodl'; did you mean 'slot-hold'?" -- "$cli" rules check "$work/faulty.rules" \
  --settings "$root/examples/rules/booking.json"
expect 3 "the same as JSON" '"line": 2' -- "$cli" rules check --json "$work/faulty.rules" --settings "$root/examples/rules/booking.json"
printf 'rule a when class == slot-hold then redial;\nrule b when class == slot-hold and width == 1 then refuse;\n' >"$work/dead.rules"
expect 0 "a rule never reached" "rule b of line 2 is never reached" -- "$cli" rules check "$work/dead.rules" --settings "$root/examples/rules/booking.json"
exit "$failed"
