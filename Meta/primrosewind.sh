#!/usr/bin/env bash
# Builds, runs and tests primrosewind. See `Meta/primrosewind.sh help`.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build="$root/Build"
bin="$build/bin"
run="$build/run"

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy
  libglib2.0-dev libsoup-3.0-dev libcapnp-dev libboost1.81-dev
  libboost-program-options1.81-dev libspdlog-dev libcppunit-dev
  nlohmann-json3-dev libxxhash-dev libhttp-parser-dev librapidcheck-dev
  libbenchmark-dev
  gnuplot-nox
)

usage() {
  cat <<'TEXT'
Usage: Meta/primrosewind.sh COMMAND

  run [--once] [SETTINGS]  install, build, start a small fleet on loopback, send
                           a mixed load and print its outcomes; stays up until
                           interrupted, or with --once ends with 0 if every
                           request ended rightly. SETTINGS is a tree from
                           Settings/ (default: hanbit)
  test                     install, build and run every test
  build                    install and build
  lint                     check formatting and naming
  format                   format the sources
  compare                  time to the first token through the entry against
                           the engine itself, as a ratio
  bench [EXPERIMENT]       load and policy experiments in virtual time with a
                           plot, from Experiments/ (default: hanbit), into
                           Build/report
  costs                    what requests and decisions cost (docs/CAPACITY.md)
  fuzz [--seconds N]       the property tests with fresh seeds (default: 60)
  soak [--seed N] [--seconds S] [--entries N]
                           real gateways under faults from outside, each promise
                           checked from what callers and endpoints saw
  help                     this text
TEXT
}

install_packages() {
  local missing=()
  for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
      grep -q 'ok installed' || missing+=("$package")
  done
  if [ ${#missing[@]} -eq 0 ]; then return; fi
  echo "Installing: ${missing[*]}"
  local sudo=()
  [ "$(id -u)" -eq 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -qq
  "${sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

build_all() {
  cmake -S "$root" -B "$build" -G Ninja >"$build.cmake.log" 2>&1 ||
    { cat "$build.cmake.log"; exit 1; }
  rm -f "$build.cmake.log"
  cmake --build "$build"
}

sources() {
  git -C "$root" ls-files '*.cpp' '*.h' | grep -v capnp
}

lint() {
  cd "$root"
  sources | xargs clang-format --dry-run --Werror
  # The platform's names stand in platform/ and in stand-ins of tests only.
  if git grep -nE 'rows-feed|rows-tx|rows-get|op/config|Response-Seal|schema_ver|cold_left_ms|Not-Executed|Expect-Instance|Token-Usage|Prompt-Prefix|Server-Load|Server-Limit' \
    -- Libraries Services Utilities; then
    echo "Names of the users' platform outside platform/" >&2
    exit 1
  fi
  # Every program and library, in parallel; the generated code is left out.
  sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 \
    clang-tidy --quiet -p "$build" 2>/dev/null
}

# Prints the tests that were passed over; more than three are a failure.
known_red() {
  [ -s "$root/KNOWN-RED.txt" ] || return 0
  echo "Passed over, known red (KNOWN-RED.txt):"
  cat "$root/KNOWN-RED.txt"
  [ "$(wc -l <"$root/KNOWN-RED.txt")" -le 3 ]
}

pids=()

stop_all() {
  trap - EXIT INT TERM
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}

# The member NAME of a flat JSON object in FILE.
member() {
  sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" "$2"
}

# Starts a program with the settings file $run/NAME.json and waits until it
# has written its addresses.
start() {
  local name=$1
  shift
  "$@" --settings "$run/$name.json" 2>"$run/$name.log" &
  pids+=($!)
  for _ in $(seq 200); do
    [ -s "$run/$name.address" ] && return
    kill -0 "$!" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$run/$name.log" >&2
  exit 1
}

standin_settings() {
  cat >"$run/$1.json" <<TEXT
{ "name": "$1", "http": "127.0.0.1:0", "tree": "$tree",
  "serves": "$2", "address_file": "$1.address" }
TEXT
}

# Settings that an entry and an agent share.
node_settings() {
  cat <<TEXT
  "name": "$1", "http": "127.0.0.1:0", "tree": "$tree",
  "region": "$region", "data_centre": "$2", "platform": "$platform",
  "rpc_key": "first-run-rpc-key", "operator_key_sha256": "$operator_hash",
  "address_file": "$1.address"
TEXT
}

agent_settings() {
  cat >"$run/$1.json" <<TEXT
{ $(node_settings "$1" "$2"),
  "rpc": "127.0.0.1:0", "endpoint": "$3", "endpoint_kind": "$4",
  "serves": "$5" }
TEXT
}

# Tells the platform's list of VMs of an agent or entry.
list_vm() {
  local name=$1 kind=$2 serves=$3 centre=$4 address
  address=$(member rpc "$run/$name.address")
  [ -n "$address" ] || address=$(member http "$run/$name.address")
  "$bin/primrosectl" --settings "$run/ctl.json" list-vm "$name" \
    "$kind" "$serves" "$address" "$region" "$centre"
}

deployment() {
  case $1 in
  hanbit)
    model=clear-model service=branch-desk guarded=/lookup plain=/status
    region=seoul-metro centres=(mapo gangnam pangyo)
    callers='"mapo-branch": "hanbit-mapo-demo-key",
      "east-broadcasting": "hanbit-broadcast-demo-key"'
    ;;
  agenzia)
    model=rapporti-llm service=campo-app guarded=/check-in plain=/offices
    region=pianura-nord centres=(milano brescia verona)
    callers='"assessorato": "assessorato-demo-key",
      "shoppers": "shoppers-demo-key"'
    ;;
  *)
    echo "no settings \"$1\": expected hanbit or agenzia" >&2
    exit 2
    ;;
  esac
  tree="$root/Settings/$1.json"
}

start_fleet() {
  rm -rf "$run"
  mkdir -p "$run"
  trap stop_all EXIT
  trap 'exit 130' INT TERM
  operator_hash=$(printf 'first-run-operator-key' | sha256sum | cut -d' ' -f1)

  standin_settings platform ""
  start platform "$bin/primrose-standin" --face platform
  platform=$(member http "$run/platform.address")
  cat >"$run/ctl.json" <<TEXT
{ "platform": "$platform", "operator_key": "first-run-operator-key" }
TEXT

  local i centre endpoint
  for i in 1 2 3; do
    centre=${centres[$((i - 1))]}
    standin_settings "engine-$i" "$model"
    start "engine-$i" "$bin/primrose-standin" --face engine
    endpoint=$(member http "$run/engine-$i.address")
    agent_settings "agent-$i" "$centre" "$endpoint" engine "$model"
    start "agent-$i" "$bin/primrose-agent"
    list_vm "agent-$i" engine "$model" "$centre"
  done
  for i in 4 5; do
    centre=${centres[$((i - 4))]}
    standin_settings "service-$i" "$service"
    start "service-$i" "$bin/primrose-standin" --face service
    endpoint=$(member http "$run/service-$i.address")
    agent_settings "agent-$i" "$centre" "$endpoint" service "$service"
    start "agent-$i" "$bin/primrose-agent"
    list_vm "agent-$i" service "$service" "$centre"
  done
  entries=()
  for i in 1 2; do
    centre=${centres[$((i - 1))]}
    echo "{ $(node_settings "entry-$i" "$centre") }" >"$run/entry-$i.json"
    start "entry-$i" "$bin/primrose-entry"
    list_vm "entry-$i" entry "" "$centre"
    entries+=("$(member http "$run/entry-$i.address")")
  done
  write_addresses
  wait_ready
}

write_addresses() {
  {
    echo '['
    sed '$!s/$/,/' "$run"/*.address
    echo ']'
  } >"$run/addresses.json.partial"
  mv "$run/addresses.json.partial" "$run/addresses.json"
}

# Waits until every entry sees all five agents in the platform's lagging list.
wait_ready() {
  local entry
  cat >"$run/ctl.json" <<TEXT
{ "platform": "$platform", "operator_key": "first-run-operator-key",
  "entries": [$(printf '"%s",' "${entries[@]}" | sed 's/,$//')] }
TEXT
  "$bin/primrosectl" --settings "$run/ctl.json" wait-for 7 60
}

load_settings() {
  cat >"$run/load.json" <<TEXT
// The load of the first run.
{
  "entries": [$(printf '"%s",' "${entries[@]}" | sed 's/,$//')],
  "callers": { $callers },
  "model": "$model",
  "service": "$service",
  "guarded_path": "$guarded",
  "plain_path": "$plain",
  // Tokens of the prompt, and how many of them are sent.
  "prompts": {
    "1000": 24, "4000": 12, "16000": 6, "50000": 3, "200000": 2, "1000000": 1
  },
  "plain_calls": 12,
  "guarded_calls": 20,
  "at_once": 8
}
TEXT
}

run_fleet() {
  local once=no
  if [ "${1:-}" = --once ]; then once=yes && shift; fi
  deployment "${1:-hanbit}"
  start_fleet
  load_settings
  echo "Entries: ${entries[*]}; all addresses: ${run#"$root"/}/addresses.json"
  local verdict=0
  "$bin/primrose-load" --settings "$run/load.json" || verdict=$?
  [ $once = yes ] && exit $verdict
  echo "Running until interrupted (Ctrl-C)."
  wait
}

compare() {
  deployment hanbit
  start_fleet
  load_settings
  "$bin/primrose-load" --settings "$run/load.json" \
    --compare "$(member http "$run/engine-1.address")"
}

# CPU seconds and resident kilobytes of a process.
usage_of() {
  local pid
  pid=$(member pid "$run/$1.address")
  awk -v hz="$(getconf CLK_TCK)" '{ printf "%.2f", ($14 + $15) / hz }' \
    "/proc/$pid/stat"
  awk '/^VmRSS/ { printf " %d", $2 }' "/proc/$pid/status"
}

# The value of a metric of an entry or agent.
metric() {
  "$bin/primrosectl" --settings "$run/ctl.json" metric \
    "$(member http "$run/$1.address")" "$2"
}

# What a request costs each process: smallest prompts of one token with one
# token of answer, so that nearly all of it is control.
costs() {
  deployment hanbit
  start_fleet
  local name count
  for count in 0 1000 3000; do
    cat >"$run/load.json" <<TEXT
{ "entries": ["${entries[0]}"], "callers": { $callers }, "model": "$model",
  "prompts": { "8": $count }, "output_tokens": 1, "at_once": 16 }
TEXT
    "$bin/primrose-load" --settings "$run/load.json" >/dev/null 2>&1
    [ "$count" -ne 0 ] || sleep 20
    for name in entry-1 agent-1; do
      echo "after $count more: $name cpu_s rss_kb $(usage_of $name)" \
        "rpc_sent $(metric $name primrose_rpc_sent_bytes)" \
        "rpc_received $(metric $name primrose_rpc_received_bytes)"
    done
  done
  cat >"$run/load.json" <<TEXT
{ "entries": ["${entries[0]}"], "callers": { $callers }, "model": "$model",
  "prompts": { "30000": 100 }, "output_tokens": 1, "at_once": 4 }
TEXT
  "$bin/primrose-load" --settings "$run/load.json" >/dev/null 2>&1
  for name in entry-1 agent-1; do
    echo "after 100 of 30000 tokens more: $name cpu_s rss_kb" \
      "$(usage_of $name)"
  done
  "$bin/primrose-costs" --benchmark_min_time=0.1
}

bench() {
  local name=${1:-hanbit} report="$build/report"
  "$bin/primrose-bench" --settings "$root/Experiments/$name.json" \
    --output "$report"
  (cd "$report" && gnuplot "$name.gp")
  echo "Table, data and plot: ${report#"$root"/}/$name.{txt,jsonl,dat,png}"
}

fuzz() {
  local seconds=60 end rounds=0 histories=1000 seed
  if [ "${1:-}" = --seconds ]; then seconds=${2:?seconds}; fi
  end=$((SECONDS + seconds))
  while [ $SECONDS -lt $end ]; do
    seed=$((RANDOM * 32768 + RANDOM))
    if ! RC_PARAMS="seed=$seed max_success=$histories" \
      "$bin/primrose-tests" claims decision parser settings \
      >"$build/fuzz.log" 2>&1; then
      cat "$build/fuzz.log"
      echo "failed with RC_PARAMS=\"seed=$seed max_success=$histories\"" >&2
      exit 1
    fi
    rounds=$((rounds + 1))
  done
  echo "$rounds rounds of $histories histories for each property, no failure"
}

command=${1:-help}
[ $# -eq 0 ] || shift
mkdir -p "$build"
case $command in
run) install_packages; build_all; run_fleet "$@" ;;
test)
  install_packages
  build_all
  verdict=0
  ctest --test-dir "$build" --output-on-failure "$@" || verdict=$?
  known_red
  exit $verdict
  ;;
build) install_packages; build_all ;;
lint) install_packages; build_all; lint ;;
format) cd "$root" && sources | xargs clang-format -i ;;
compare) install_packages; build_all; compare ;;
bench) install_packages; build_all; bench "$@" ;;
costs) install_packages; build_all; costs ;;
fuzz) install_packages; build_all; fuzz "$@" ;;
soak)
  install_packages
  build_all
  "$bin/primrose-soak" --program "$bin/primrose-gateway" "$@"
  ;;
help | --help) usage ;;
*)
  echo "unknown command \"$command\"" >&2
  usage >&2
  exit 2
  ;;
esac
