package io.pathdeck.fleet.load;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads this process's own calls under way from its table of engines, and notes its peers'. */
final class InFlightCalls {
  private InFlightCalls() {}

  /** The engines with calls under way; where they are too many for a datagram, the fullest. */
  static Map<Long, Integer> of(EngineTable engines) {
    List<EngineState> busy =
        engines.all().stream().filter(engine -> engine.inFlight() > 0).toList();
    Stream<EngineState> told = busy.stream();
    if (busy.size() > LoadDatagram.MAX_ENGINES) {
      told =
          told.sorted(Comparator.comparingInt(EngineState::inFlight).reversed())
              .limit(LoadDatagram.MAX_ENGINES);
    }
    Map<Long, Integer> calls = new HashMap<>();
    told.forEach(
        engine ->
            calls.put(engine.instanceHash(), Math.min(LoadDatagram.MAX_CALLS, engine.inFlight())));
    return calls;
  }

  /** Notes the peers' calls at each engine. */
  static void applyPeerCalls(EngineTable engines, PeerLoads peers) {
    for (EngineState engine : engines.all()) {
      engine.onPeerCalls(peers.callsAt(engine.instanceHash()));
    }
  }
}
