# Shell functions that start and stop a small fleet on loopback. Source this
# file after setting FLEET_DIR (working directory) and FLEET_BIN (programs). The
# ids of all started processes are recorded, and only these processes are ended.

# First port of the fleet; fleets that run at the same time need different
# bases.
FLEET_BASE=${FLEET_BASE:-7000}
FLEET_PIDS=()
declare -A FLEET_PID

fleet_start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.log" 2>"$FLEET_DIR/$name.err" &
  FLEET_PID[$name]=$!
  FLEET_PIDS+=($!)
  disown $!
}

fleet_wait_http() { # IP:PORT PATH
  for _ in $(seq 1 200); do
    curl -sf -o /dev/null --noproxy '*' -m 1 "http://$1$2" && return 0
    sleep 0.05
  done
  echo "no successful response from http://$1$2" >&2
  return 1
}

fleet_stop() {
  for pid in "${FLEET_PIDS[@]}"; do
    # Ignore processes that have ended already (the scripts run with set -e).
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  return 0
}

# Availability zones, assigned to routers and upstreams in round-robin order.
FLEET_ZONES=(torino-a torino-b milano-c brescia-d)

fleet_zone() { echo "${FLEET_ZONES[$(($1 % ${#FLEET_ZONES[@]}))]}"; }

# Writes hosts.json with ROUTERS routers, ENGINES engines of pool "chat" and
# PLAINS plain services of pool "portal".
fleet_hosts() { # ROUTERS ENGINES PLAINS
  local sep="" i
  {
    echo "["
    for i in $(seq 1 "$1"); do
      printf '%s{"id":"r%d","role":"router","availability_zone":"%s",' \
        "$sep" "$i" "$(fleet_zone "$i")"
      printf '"address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d",' \
        $((FLEET_BASE + 1300 + i)) $((FLEET_BASE + 1200 + i))
      printf '"state":"live"}\n'
      sep=","
    done
    for i in $(seq 1 "$2"); do
      printf ',{"id":"e%d","role":"upstream","availability_zone":"%s",' \
        "$i" "$(fleet_zone "$i")"
      printf '"address":"127.0.0.1:%d","pool":"chat","state":"live"}\n' \
        $((FLEET_BASE + 2000 + i))
    done
    for i in $(seq 1 "$3"); do
      printf ',{"id":"p%d","role":"upstream","availability_zone":"%s",' \
        "$i" "$(fleet_zone "$i")"
      printf '"address":"127.0.0.1:%d","pool":"portal","state":"live"}\n' \
        $((FLEET_BASE + 2100 + i))
    done
    echo "]"
  } >"$FLEET_DIR/hosts.json"
}

fleet_router_settings() { # INDEX POLICY
  cat >"$FLEET_DIR/r$1.ini" <<EOF
[router]
id = r$1
availability_zone = $(fleet_zone "$1")
listen = 127.0.0.1:$((FLEET_BASE + 1100 + $1))
peer_listen = 127.0.0.1:$((FLEET_BASE + 1200 + $1))
admin_listen = 127.0.0.1:$((FLEET_BASE + 1300 + $1))
traffic_threads = ${TRAFFIC_THREADS:-2}
drain_notice_ms = 500
${ROUTER_SETTINGS:-}
policy = $2
[platform]
address = 127.0.0.1:$FLEET_BASE
EOF
}

fleet_start_router() { # INDEX
  fleet_start "r$1" "$FLEET_BIN/hemlockgauge-router" \
    --settings="$FLEET_DIR/r$1.ini"
}

# Prints the section of a workspace in a service document; its API key is
# "key-NAME".
fleet_workspace() { # NAME SHARE [EXTRA LINES]
  printf '[workspace:%s]\nshare = %s\nkey_sha256 = %s\n%s\n' "$1" "$2" \
    "$(printf 'key-%s' "$1" | sha256sum | cut -d' ' -f1)" "${3:-}"
}

# Starts the platform, upstreams and routers, and waits until the routers are
# ready. The service documents are read from FLEET_DIR/*.doc.ini. ENGINE_FLAGS
# and PLAIN_FLAGS are passed to the engines and plain services.
fleet_up() { # ROUTERS ENGINES PLAINS POLICY
  local documents="" file name i
  fleet_hosts "$1" "$2" "$3"
  for file in "$FLEET_DIR"/*.doc.ini; do
    name=$(basename "$file" .doc.ini)
    documents+="${documents:+,}$name=$file"
  done
  fleet_start platform "$FLEET_BIN/hemlockgauge-standin-platform" \
    --listen=127.0.0.1:$FLEET_BASE --hosts="$FLEET_DIR/hosts.json" \
    --documents="$documents"
  for i in $(seq 1 "$2"); do
    fleet_start "e$i" "$FLEET_BIN/hemlockgauge-standin-engine" \
      --listen=127.0.0.1:$((FLEET_BASE + 2000 + i)) ${ENGINE_FLAGS:-}
  done
  for i in $(seq 1 "$3"); do
    fleet_start "p$i" "$FLEET_BIN/hemlockgauge-standin-plain" \
      --listen=127.0.0.1:$((FLEET_BASE + 2100 + i)) ${PLAIN_FLAGS:-}
  done
  fleet_wait_http 127.0.0.1:$FLEET_BASE /-/calls || return 1
  for i in $(seq 1 "$1"); do
    fleet_router_settings "$i" "$4"
    fleet_start_router "$i"
  done
  for i in $(seq 1 "$1"); do
    fleet_wait_http 127.0.0.1:$((FLEET_BASE + 1300 + i)) /readyz || return 1
  done
}

fleet_list() { # BASE-PORT COUNT: IP:PORT,IP:PORT
  local list="" i
  for i in $(seq 1 "$2"); do
    list+="${list:+,}127.0.0.1:$(($1 + i))"
  done
  echo "$list"
}

# Prints the section of a workspace in a load plan.
fleet_plan_workspace() { # NAME EXTRA-LINES
  printf '[workspace:%s]\nkey = key-%s\n%s\n' "$1" "$1" "$2"
}
