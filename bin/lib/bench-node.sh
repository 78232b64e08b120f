# bin/bench node: first token and tokens a second through one node, beside direct calls in the same run.
source bin/lib/fleet.sh

ticks_of() { awk '{print $14 + $15}' "/proc/$1/stat"; }
java_pid() { echo "${pid_of[$1]}"; }

bench_node() {
  fleet_select souq
  run=run/bench-node
  bin/build
  trap fleet_stop EXIT
  rm -rf "$run"; mkdir -p "$run"
  local i
  for i in 1 2 3 4 5; do start_controller "$i"; done
  # Fast engines, so that the node is what limits.
  engine_options=(--set step_base_micros=1000 --set step_per_sequence_micros=10 --set context_micros_per_kilo_token=0
                  --set prefill_micros_per_token=1 --set max_sequences=512 --set max_waiting=4096)
  for ((i = 1; i <= engines; i++)); do start_engine "$i"; done
  start_node 1
  apply_declaration "$declaration"
  await_ready $((base + 51))
  sleep 5
  local pid before after started idle_before idle_after
  pid="$(java_pid node-1)"
  idle_before="$(ticks_of "$pid")"; sleep 10; idle_after="$(ticks_of "$pid")"
  echo "idle node     $(awk '/VmRSS/ {printf "%.0f MB resident", $2 / 1024}' "/proc/$pid/status"), $(awk -v t=$((idle_after - idle_before)) 'BEGIN {printf "%.2f%% of a core", t / 10}')"
  local node="127.0.0.1:$((base + 1))" engine="127.0.0.1:$((base + 301))" round
  local options=(--key "$key" --model "$model" --job-interval-ms 0 --stream-only)
  for round in warm-up 1 2; do
    for target in direct node; do
      local address="$engine"
      [ "$target" = node ] && address="$node"
      bin/testkit load --nodes "$address" "${options[@]}" --rate 40 --seconds 12 --warm-up-seconds 6 --seed 3 > "$run/$target-$round.out" || true
      [ "$round" = warm-up ] || echo "$target round $round: $(grep 'first token' "$run/$target-$round.out")"
    done
  done
  before="$(ticks_of "$pid")"
  started=$(date +%s%N)
  bin/testkit load --nodes "$node" "${options[@]}" --rate 1400 --seconds 10 --seed 4 --json "$run/throughput.json" > "$run/throughput.out" || true
  after="$(ticks_of "$pid")"
  awk -v ticks=$((after - before)) '{
      match($0, /"tokens":[0-9]+/); tokens = substr($0, RSTART + 9, RLENGTH - 9)
      printf "throughput    %d tokens in 10 s of arrivals, %.0f tokens/s, node processor time %.1f us a token\n",
        tokens, tokens / 10, ticks * 10000 / tokens }' "$run/throughput.json"
  grep requests "$run/throughput.out"
  echo "busy node     $(awk '/VmRSS/ {printf "%.0f MB resident after the load", $2 / 1024}' "/proc/$pid/status")"
}
