#!/bin/bash
# Tests the bench adapter as a process: exit codes, a single line on standard error, no reply to a malformed batch.
set -euo pipefail
host=$1
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# expect NAME EXIT_CODE ERROR_LINES REPLY_BYTES INPUT
expect() {
  local code=0
  printf "$5" | "$host" >"$scratch/out" 2>"$scratch/err" || code=$?
  local lines bytes
  lines=$(wc -l <"$scratch/err")
  bytes=$(wc -c <"$scratch/out")
  if [[ $code -ne $2 || $lines -ne $3 || $bytes -ne $4 ]]; then
    echo "$1: exit code $code, $lines error lines, $bytes reply bytes; expected $2, $3, $4"
    cat "$scratch/err"
    exit 1
  fi
}

header='\x01\0\0\0\0\0\0\0\0\0\0\0'
expect 'end of input at once' 0 0 0 ''
expect 'an empty batch' 0 0 12 "$header"'\x04\0\0\0\0\0\0\0'
expect 'a truncated header' 1 1 0 '\x01\0\0'
expect 'truncated records' 1 1 0 "$header"'\x09\0\0\0\x01\0\0\0\x16\0'
expect 'an unknown record' 1 1 0 "$header"'\x09\0\0\0\x01\0\0\0\x63\0\0\0\0'
expect 'an oversized batch' 1 1 0 "$header"'\xff\xff\xff\xff\0\0\0\0'
expect 'a list never defined' 1 1 0 "$header"'\x12\0\0\0\x01\0\0\0\x10\0\0\0\0\0\x05\0\0\0\0\0\0\0'
echo 'all as expected'
