# bin/bench state: durable commands a second beside the raw disk, and the time without a leader.
source bin/lib/fleet.sh

# The controller that most recently began to lead the meta group.
last_leader() {
  grep -H 'group=0 role=LEADER' "$run"/controller-*.log | sed 's/.*controller-\([0-9]\)[.]log:\([^ ]*\).*/\2 \1/' |
    sort | tail -1 | cut -d' ' -f2
}

bench_state() {
  fleet_select souq
  run=run/bench-state
  bin/build
  trap fleet_stop EXIT
  rm -rf "$run"; mkdir -p "$run"
  local i round
  for i in 1 2 3 4 5; do start_controller "$i"; done
  apply_declaration "$declaration"
  bin/testkit state --folder "$run/raw" \
    --controllers "$(for i in 1 2 3 4 5; do printf '127.0.0.1:%d,' $((base + 100 + i)); done | sed 's/,$//')"
  echo "log on disk   $(du -sh "$run/controller-1" | cut -f1) on controller 1, $(awk '/VmRSS/ {printf "%.0f MB resident", $2 / 1024}' "/proc/${pid_of[controller-1]}/status")"
  # Kill the leader of the meta group and measure until another one applies a change.
  local leader rounds="${BENCH_KILLS:-5}"
  for ((round = 1; round <= rounds; round++)); do
    leader="$(last_leader)"
    kill -9 "${pid_of[controller-$leader]}"
    local started=$(date +%s%N)
    local waits=0
    until [ "$(last_leader)" != "$leader" ] || [ $((waits += 1)) -gt 400 ]; do sleep 0.02; done
    echo "kill $round        controller $leader, another leads the meta group after $((($(date +%s%N) - started) / 1000000)) ms"
    start_controller "$leader"
    sleep 3
  done
}
