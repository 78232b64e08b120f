package io.pathdeck.fleet.warmup;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The listed engines by life, and how long each is cold; none while no service limits cold ones.
 *
 * <p>An engine counts as cold until told otherwise when it appears in a list that is not this
 * process's first one, when it comes back, and when the evacuation of its zone ends. In the first
 * list, what the engines tell decides.
 */
final class ColdEngines {
  private static final EventLog EVENTS = EventLog.of(ColdEngines.class);

  private final Map<String, ColdEngine> engines = new HashMap<>();
  private Map<String, ColdRule> rules = Map.of();
  private long routesVersion = RouteTable.NO_VERSION;
  private List<String> evacuatedZones = EvacuatedZones.NONE.zones();
  private boolean hasList;

  void onChange(FleetView view, long nowMs) {
    if (view.routes() != null && view.routes().version() != routesVersion) {
      routesVersion = view.routes().version();
      rules = rules(view.routes());
    }
    if (rules.isEmpty()) {
      engines.clear();
      hasList = false;
    } else if (view.engines() != null) {
      onList(view.engines(), nowMs);
    }
    onEvacuatedZones(view, nowMs);
  }

  private static Map<String, ColdRule> rules(RouteTable routes) {
    Map<String, ColdRule> rules = new HashMap<>();
    for (ServiceLimits service : routes.services()) {
      if (service.limitsColdEngines()) {
        rules.put(service.name(), ColdRule.of(service));
      }
    }
    return rules;
  }

  private void onList(Map<String, EngineInstance> listed, long nowMs) {
    Set<String> lives = new HashSet<>();
    for (EngineInstance engine : listed.values()) {
      lives.add(engine.lifeId());
      onListed(engine, nowMs);
    }
    engines.keySet().retainAll(lives);
    hasList = true;
  }

  private void onListed(EngineInstance engine, long nowMs) {
    ColdEngine known = engines.get(engine.lifeId());
    boolean wasCold = known != null && known.isCold(nowMs);
    if (known == null) {
      known = new ColdEngine(engine);
      engines.put(engine.lifeId(), known);
      ColdRule rule = rules.get(engine.service());
      if (hasList && rule != null && engine.coldLeftMs() == 0) {
        assumeCold(engine, known, rule, "new", nowMs);
        wasCold = true;
      }
    }
    known.onListed(engine.coldLeftMs(), nowMs);
    if (!wasCold) {
      logIfCold(engine, known, "told", nowMs);
    }
  }

  private void onEvacuatedZones(FleetView view, long nowMs) {
    List<String> current = view.evacuatedZones().zones();
    if (current.equals(evacuatedZones)) {
      return;
    }
    Set<String> returned = new HashSet<>(evacuatedZones);
    current.forEach(returned::remove);
    evacuatedZones = current;
    if (engines.isEmpty()) {
      return;
    }
    for (EngineInstance engine : view.engines().values()) {
      ColdRule rule = rules.get(engine.service());
      if (rule != null && returned.contains(engine.zone())) {
        assumeCold(engine, engines.get(engine.lifeId()), rule, "evacuation ended", nowMs);
      }
    }
  }

  void assumeCold(
      EngineInstance engine, ColdEngine known, ColdRule rule, String reason, long nowMs) {
    boolean wasCold = known.isCold(nowMs);
    known.assumeCold(rule.coldStartMs(), nowMs);
    if (!wasCold) {
      logIfCold(engine, known, reason, nowMs);
    }
  }

  /** Applies what an engine says itself. */
  void onTold(EngineInstance engine, long leftMs, long nowMs) {
    ColdEngine known = find(engine);
    if (known == null) {
      return;
    }
    boolean wasCold = known.isCold(nowMs);
    known.onTold(leftMs, nowMs);
    if (!wasCold) {
      logIfCold(engine, known, "told by itself", nowMs);
    }
  }

  /** Applies a report of an engine; one from a later life than the last known one is cold. */
  void onReport(EngineInstance engine, long bornMs, long nowMs) {
    ColdEngine known = find(engine);
    ColdRule rule = rule(engine);
    if (known != null && rule != null && known.onReport(bornMs, nowMs)) {
      assumeCold(engine, known, rule, "restarted", nowMs);
    }
  }

  private void logIfCold(EngineInstance engine, ColdEngine known, String reason, long nowMs) {
    if (rules.containsKey(engine.service()) && known.isCold(nowMs)) {
      EVENTS.log(
          EventCode.ENGINE_COLD,
          "engine",
          engine.id(),
          "reason",
          reason,
          "left_ms",
          known.coldLeftMs(nowMs));
    }
  }

  /** Returns the engine's life; null if it is not listed. */
  ColdEngine find(EngineInstance engine) {
    return engines.get(engine.lifeId());
  }

  /** Returns the limit of the engine's service; null if it has none. */
  ColdRule rule(EngineInstance engine) {
    return rules.get(engine.service());
  }

  /** Returns the number of cold engines. */
  int countCold(long nowMs) {
    int cold = 0;
    for (ColdEngine engine : engines.values()) {
      cold += engine.isCold(nowMs) ? 1 : 0;
    }
    return cold;
  }
}
