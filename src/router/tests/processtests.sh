#!/usr/bin/env bash
# Tests real processes: a graceful stop under load, a router that is paused and
# resumes, a killed router, and the operators' command line. Waits for
# conditions, never for a fixed time.
# Usage: processtests.sh BINARIES SOURCES
set -uo pipefail
FLEET_BIN=$1
FLEET_BASE=27000
FLEET_DIR=$(mktemp -d)
. "$2/scripts/fleet.sh"
trap fleet_stop EXIT
PLAIN_FLAGS=--work_ms=300
failures=0

fail() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

# Tests whether a command's output matches a pattern. Reads the whole output
# first: if grep -q exited early, the command would fail with a broken pipe.
shows() { # PATTERN COMMAND...
  local pattern=$1 output
  shift
  output=$("$@")
  grep -q "$pattern" <<<"$output"
}

wait_for() { # WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 1 300); do
    "$@" && return 0
    sleep 0.1
  done
  fail "waited for $what in vain"
  return 1
}

{
  printf '[service]\nname = chat\npath_prefix = /chat\n'
  printf 'repeatable_path = /chat\n'
  printf '[upstream]\npool = chat\nkind = model-engine\nconcurrency = 8\n'
  fleet_workspace w 1
} >"$FLEET_DIR/chat.doc.ini"
{
  printf '[service]\nname = portal\npath_prefix = /portal\n'
  printf '[upstream]\npool = portal\nkind = plain\nconcurrency = 8\n'
  fleet_workspace w 1
} >"$FLEET_DIR/portal.doc.ini"
fleet_up 3 2 1 entitlement || exit 1

admin() { echo "127.0.0.1:$((FLEET_BASE + 1300 + $1))"; }
members() { # ROUTER COUNT
  [ "$("$FLEET_BIN/hemlockgaugectl" --router="$(admin "$1")" --json status |
    grep -c '"ready": true')" = "$2" ]
}
wait_for "three members" members 1 3

plan() { # SECONDS SEED
  printf '[load]\nrouters = %s\nupstreams = %s\nseconds = %s\nseed = %s\n' \
    "$(fleet_list $((FLEET_BASE + 1100)) 3)" \
    "$(fleet_list $((FLEET_BASE + 2100)) 1)" "$1" "$2"
  printf 'workspaces = chat,book\n'
  printf '[workspace:chat]\nkey = key-w\npath = /chat/x\nclosed = 12\n'
  printf 'tokens_low = 20\ntokens_high = 40\n'
  printf '[workspace:book]\nkey = key-w\npath = /portal/x\nkind = plain\n'
  printf 'rate = 10\nrepeatable = no\n'
}
value() { # KEY
  grep load-summary "$FLEET_DIR/summary" |
    sed -n "s/.* $1=\([0-9.]*\).*/\1/p"
}
running() { # ROUTER
  shows '^hemlockgauge_running [1-9]' \
    curl -sf --noproxy '*' "http://$(admin "$1")/metrics"
}
answers_gone() { # PID
  ! kill -0 "$1" 2>/dev/null
}

# A graceful stop aborts no request, and the process logs that.
plan 12 1 >"$FLEET_DIR/plan.ini"
"$FLEET_BIN/hemlockgauge-load" --plan="$FLEET_DIR/plan.ini" \
  >"$FLEET_DIR/summary" &
load=$!
wait_for "work at r2" running 2
kill -TERM "${FLEET_PID[r2]}"
wait_for "the end of r2" answers_gone "${FLEET_PID[r2]}"
grep -q 'event=stopped requests_cut=0' "$FLEET_DIR/r2.log" ||
  fail "r2 did not end with nothing cut"

# A paused router that resumes logs the pause and rejoins the fleet.
kill -STOP "${FLEET_PID[r3]}"
sleep 3
kill -CONT "${FLEET_PID[r3]}"
wait_for "the wake-up note" grep -q 'event=woke' "$FLEET_DIR/r3.log"
wait "$load" || fail "the load was not answered well"
for key in lost wrong doubled cut; do
  [ "$(value "$key")" = 0 ] || fail "$key=$(value "$key")"
done
fleet_start_router 2
wait_for "three members again" members 1 3

# A killed router breaks its connections visibly to callers; no request is
# lost, run twice or answered wrongly.
plan 6 2 >"$FLEET_DIR/plan.ini"
"$FLEET_BIN/hemlockgauge-load" --plan="$FLEET_DIR/plan.ini" \
  >"$FLEET_DIR/summary" &
load=$!
wait_for "work at r3" running 3
kill -KILL "${FLEET_PID[r3]}"
wait "$load" || fail "the load was not answered well after a kill"
dead() {
  shows '"state": "dead"' \
    "$FLEET_BIN/hemlockgaugectl" --router="$(admin 1)" --json status
}
wait_for "the notice of r3's death" dead

# The command line tool explains requests, and checks and refuses documents.
id=$(curl -s --noproxy '*' -D - -o /dev/null -H 'Authorization: Bearer key-w' \
  -d '{"seed":1,"tokens":1}' \
  "http://127.0.0.1:$((FLEET_BASE + 1101))/chat/x" |
  sed -n 's/^X-Request-Id: \(.*\)\r/\1/p')
shows 'event=placed' \
  "$FLEET_BIN/hemlockgaugectl" --router="$(admin 1)" explain "$id" || fail "explain does not know $id"
"$FLEET_BIN/hemlockgaugectl" check "$FLEET_DIR/chat.doc.ini" >/dev/null ||
  fail "check refused a good document"
echo 'colour = red' >>"$FLEET_DIR/chat.doc.ini"
"$FLEET_BIN/hemlockgaugectl" check "$FLEET_DIR/chat.doc.ini" 2>/dev/null &&
  fail "check took a bad document"
grep -l 'key-w' "$FLEET_DIR"/r?.log && fail "a key stands in a log"
grep -l 'invariant-broken' "$FLEET_DIR"/r?.log && fail "an invariant broke"
"$FLEET_BIN/hemlockgauge-router" --check --settings="$FLEET_DIR/r1.ini" \
  >/dev/null || fail "good settings were refused"

[ "$failures" -eq 0 ] && echo "all held"
exit "$failures"
