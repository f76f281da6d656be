#!/bin/bash
# Tests the edge on the platform as a process: configuration, signals and exit codes.
set -euo pipefail
edge=$1
folder=$(mktemp -d)
pid=
trap '[[ -n $pid ]] && kill -KILL "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
fail() { echo "$1" >&2; cat "$folder"/*.txt >&2 || true; exit 1; }
port=$((20000 + RANDOM % 10000))
good() {
  cat <<JSON
{"name":"n0","listen":"127.0.0.9:$port","seed":"1f","limits":{"cores":1.0,"memory_mb":32,"sockets":128},"board":"127.0.0.9:$1",
 "known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":0,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.9:2","az":"a","model":"b",
 "pod_group":1,"state":"Ready","capacity_hint":1,"boot_ms":0}]}}]},
 "settings":{"family_info":{"home_no":0,"shape":"meshed"},"grades":[{"name":"voice","hard_limit_us":9000000}],"report":{"fields":["spare","total"]}}}
JSON
}
send_line() {  # sends one line to the softswitch and prints the response line
  exec 3<>"/dev/tcp/127.0.0.9/$port" || return 1
  printf '%s\n' "$1" >&3
  local line=
  read -r -t 5 line <&3 || true
  exec 3>&-
  printf '%s' "$line"
}

# An invalid configuration is rejected with all errors and exit code 3.
echo '{"listen":"nowhere","limits":{"sockets":-1}}' >"$folder/config.json"
code=0
GW_CONFIG=$folder/config.json "$edge" --platform 2>"$folder/bad.txt" || code=$?
[[ $code -eq 3 ]] || fail "exit code $code for an invalid configuration"
for place in /listen /limits/sockets /board /settings; do
  grep -q -- "$place" "$folder/bad.txt" || fail "no error reported for $place"
done
code=0
env -u GW_CONFIG "$edge" --platform 2>"$folder/none.txt" || code=$?
[[ $code -eq 3 ]] || fail "exit code $code without GW_CONFIG"

# A signal during the start is not lost. The process waits for its configuration from an empty pipe when SIGTERM
# arrives, and shuts down in order once it has read it; likewise SIGHUP makes it read the file again.
mkfifo "$folder/pipe"
GW_CONFIG=$folder/pipe "$edge" --platform 2>"$folder/early.txt" &
pid=$!
exec 4>"$folder/pipe"  # returns once the process has opened the pipe
kill -TERM "$pid"
good 3 >&4
exec 4>&-
code=0
wait "$pid" || code=$?
pid=
[[ $code -eq 0 ]] || fail "exit code $code after a SIGTERM during the start"
grep -q '"stopped"' "$folder/early.txt" || fail "no orderly shutdown after a SIGTERM during the start"
GW_CONFIG=$folder/pipe "$edge" --platform 2>"$folder/early.txt" &
pid=$!
exec 4>"$folder/pipe"
kill -HUP "$pid"
good 3 >&4
exec 4>&-
for _ in $(seq 100); do grep -q '"ready"' "$folder/early.txt" && break; sleep 0.1; done
exec 4>"$folder/pipe"  # read a second time
good 4 >&4
exec 4>&-
for _ in $(seq 100); do grep -q '"reconfigured"' "$folder/early.txt" && break; sleep 0.1; done
grep -q 'to 127.0.0.9:4' "$folder/early.txt" || fail "a SIGHUP during the start was ignored"
kill -TERM "$pid"
wait "$pid" || fail "exit code $? after SIGTERM"
pid=

good 3 >"$folder/config.json"
GW_CONFIG=$folder/config.json "$edge" --platform 2>"$folder/log.txt" &
pid=$!
for _ in $(seq 100); do grep -q '"ready"' "$folder/log.txt" && break; sleep 0.1; done
heartbeat='{"t":"hb","ref":"0000000000000001","f":{},"c":0}'
[[ $(send_line "$heartbeat") == *'"hb_ok"'* ]] || fail "heartbeat was not answered"

# A half-written file leaves the former configuration in force and is read again once it is complete.
good 4 | head -c 100 >"$folder/config.json"
kill -HUP "$pid"
for _ in $(seq 100); do grep -q configuration-kept "$folder/log.txt" && break; sleep 0.1; done
grep -q configuration-kept "$folder/log.txt" || fail "a half-written configuration was not reported"
[[ $(send_line "$heartbeat") == *'"hb_ok"'* ]] || fail "heartbeat was not answered after a half-written configuration"
good 4 >"$folder/config.json"
for _ in $(seq 100); do grep -q '"reconfigured"' "$folder/log.txt" && break; sleep 0.1; done
grep -q 'to 127.0.0.9:4' "$folder/log.txt" || fail "new discovery address was not applied"

# After SIGTERM it still answers for a while and then shuts down in order.
kill -TERM "$pid"
call='{"t":"new","ref":"0000000000000002","f":{"class":"voice","left":"1500","extras":"dest:7;width:1;via:-1"},"d":"x"}'
[[ $(send_line "$call") == *'"down"'* ]] || fail "a call after SIGTERM was not answered"
code=0
wait "$pid" || code=$?
pid=
[[ $code -eq 0 ]] || fail "exit code $code after SIGTERM"
grep -q '"stopped"' "$folder/log.txt" || fail "shutdown was not logged"
