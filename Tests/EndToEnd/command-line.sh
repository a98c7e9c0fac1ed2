#!/usr/bin/env bash
# Wrong arguments and settings: one clear line, the right exit code, no crash.
# Usage: command-line.sh BIN_FOLDER SOURCE_FOLDER
set -u
bin=$1 source=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
passed=0 failed=0

# expect CODE PATTERN COMMAND...: the command ends with the code and prints
# exactly one line, which matches.
expect() {
  local code=$1 pattern=$2 output status lines
  shift 2
  output=$("$@" 2>&1)
  status=$?
  lines=$(printf '%s\n' "$output" | wc -l)
  if [ $status -eq "$code" ] && [ "$lines" -eq 1 ] &&
    printf '%s' "$output" | grep -q -- "$pattern"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED ($status, $lines lines): $*: $output"
  fi
}

node() {
  cat <<TEXT
{ // A process's settings, with a comment.
  "name": "n", "http": "$1", "tree": "$source/Settings/hanbit.json",
  "region": "r", "data_centre": "d", "platform": "127.0.0.1:1",
  "rpc_key": "k", "operator_key_sha256": "h" $2 }
TEXT
}

agent=', "rpc": "127.0.0.1:0", "endpoint": "127.0.0.1:1",
  "endpoint_kind": "engine", "serves": "clear-model"'
node 127.0.0.1:0 "" >"$folder/entry.json"
node 127.0.0.1:0 "$agent" >"$folder/agent.json"
node 127.0.0.1:0 ', "extra": 1' >"$folder/unknown.json"
node 127.0.0.1:99999 "" >"$folder/port.json"
node localhost:1 "" >"$folder/host.json"
echo '{ "name": 7 }' >"$folder/types.json"
echo '{ "name": ' >"$folder/syntax.json"
: >"$folder/empty.json"
echo '{ "values": { "porbes": 3 } }' >"$folder/tree.json"

expect 0 ': good$' "$bin/primrose-entry" --settings "$folder/entry.json" --check
expect 0 ': good$' "$bin/primrose-agent" --settings "$folder/agent.json" --check
expect 0 '^primrose-entry [0-9]' "$bin/primrose-entry" --version
expect 2 'settings FILE is required' "$bin/primrose-entry"
expect 2 'unrecognised option' "$bin/primrose-entry" --nonsense
expect 2 'log-level' "$bin/primrose-entry" --settings x --log-level loud
expect 2 '/extra: unknown key' \
  "$bin/primrose-entry" --settings "$folder/unknown.json" --check
expect 2 '/name: expected a text, found 7' \
  "$bin/primrose-entry" --settings "$folder/types.json" --check
expect 2 'line 2: not JSON' \
  "$bin/primrose-entry" --settings "$folder/syntax.json" --check
printf 'x time=1 by=e event=request request=r1 outcome=answered\n' >"$folder/log"
expect 0 '^time=1 .*outcome=answered' "$bin/primrosectl" story r1 "$folder/log"
expect 1 'no line of these logs names request r2' \
  "$bin/primrosectl" story r2 "$folder/log"
expect 2 'none.log cannot be read' \
  "$bin/primrosectl" story r1 "$folder/none.log"
expect 2 'usage: story REQUEST LOG' "$bin/primrosectl" story r1
expect 2 'cannot be read' "$bin/primrose-entry" --settings "$folder/none.json"
expect 2 'cannot be read' "$bin/primrose-agent" --settings "$folder/empty.json"
expect 2 'cannot be read' "$bin/primrose-agent" --settings "$folder"
expect 2 '/http: expected an address' \
  "$bin/primrose-entry" --settings "$folder/port.json" --check
expect 2 'expected an address' \
  "$bin/primrose-entry" --settings "$folder/host.json" --check
expect 2 'did you mean "probes"' "$bin/primrosectl" check "$folder/tree.json"
expect 2 'did you mean "status"' "$bin/primrosectl" statsu
expect 2 'usage: explain REQUEST' "$bin/primrosectl" explain
expect 0 ': good' "$bin/primrosectl" check "$source/Settings/agenzia.json"

# A port in use.
"$bin/primrose-standin" --face platform --log-level error \
  --settings <(cat <<TEXT
{ "name": "p", "http": "127.0.0.1:0", "tree": "none",
  "address_file": "$folder/p.address" }
TEXT
) &
holder=$!
for _ in $(seq 100); do [ -s "$folder/p.address" ] && break; sleep 0.05; done
taken=$(sed -n 's/.*"http":"\([^"]*\)".*/\1/p' "$folder/p.address")
node "$taken" "" >"$folder/taken.json"
expect 1 'cannot listen on' \
  "$bin/primrose-entry" --log-level error --settings "$folder/taken.json"
kill $holder

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
