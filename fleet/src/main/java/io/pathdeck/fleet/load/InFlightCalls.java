package io.pathdeck.fleet.load;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Reads this process's in-flight calls from its engine table, and applies the peers' counts to it.
 */
final class InFlightCalls {
  private InFlightCalls() {}

  /**
   * Returns the in-flight calls by engine hash; if a datagram cannot hold all engines, only those
   * with the most calls.
   */
  static Map<Long, Integer> of(EngineTable engines) {
    List<EngineState> busy =
        engines.all().stream().filter(engine -> engine.inFlight() > 0).toList();
    Stream<EngineState> selected = busy.stream();
    if (busy.size() > LoadDatagram.MAX_ENGINES) {
      selected =
          selected
              .sorted(Comparator.comparingInt(EngineState::inFlight).reversed())
              .limit(LoadDatagram.MAX_ENGINES);
    }
    Map<Long, Integer> calls = new HashMap<>();
    selected.forEach(
        engine ->
            calls.put(engine.instanceHash(), Math.min(LoadDatagram.MAX_CALLS, engine.inFlight())));
    return calls;
  }

  /** Updates each engine's state with the number of calls that peers have in flight at it. */
  static void applyPeerCalls(EngineTable engines, PeerLoads peers) {
    for (EngineState engine : engines.all()) {
      engine.onPeerCalls(peers.callsAt(engine.instanceHash()));
    }
  }
}
