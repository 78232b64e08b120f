package io.pathdeck.fleet.engine;

import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The engines known to this process, by id; confined to one thread. */
public final class EngineTable {
  private final Map<String, EngineState> engines = new HashMap<>();
  private final long reportHalfLifeMs;

  /**
   * Creates an empty table.
   *
   * @param reportHalfLifeMs half-life of the weight of an engine's load report
   */
  public EngineTable(long reportHalfLifeMs) {
    this.reportHalfLifeMs = reportHalfLifeMs;
  }

  /** Applies the list of engines; an engine that is no longer listed gets no new calls. */
  public void update(Map<String, EngineInstance> listed) {
    engines
        .entrySet()
        .removeIf(
            entry -> {
              boolean missing = !listed.containsKey(entry.getKey());
              if (missing) {
                entry.getValue().onGone();
              }
              return missing;
            });
    listed.forEach(this::update);
  }

  /**
   * Replaces the state of a restarted engine, since nothing known of the earlier instance holds.
   */
  private void update(String id, EngineInstance instance) {
    EngineState known = engines.get(id);
    if (known != null && known.instance().lifeId().equals(instance.lifeId())) {
      known.update(instance);
      return;
    }
    if (known != null) {
      known.onGone();
    }
    engines.put(id, new EngineState(instance, reportHalfLifeMs));
  }

  /** Marks an engine instance as down; ignored if another instance has replaced it. */
  public void onDown(EngineInstance engine, long nowMs) {
    EngineState known = engines.get(engine.id());
    if (known != null && known.instance().lifeId().equals(engine.lifeId())) {
      known.onDown(nowMs);
    }
  }

  /** Whether any engine reports its pace. */
  public boolean anyReportsPace() {
    for (EngineState engine : engines.values()) {
      if (engine.reportsPace()) {
        return true;
      }
    }
    return false;
  }

  /** All engines. */
  public Collection<EngineState> all() {
    return engines.values();
  }

  /** The engine with this id, or null. */
  public EngineState find(String id) {
    return engines.get(id);
  }

  /** Pace of a service from all its engines, including those that may not get a call. */
  public ServicePace pace(String service, long nowMs) {
    List<EngineState> ofService = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      if (engine.instance().service().equals(service)) {
        ofService.add(engine);
      }
    }
    return ServicePace.of(ofService, nowMs);
  }

  /** The engines of a service that may get a call and are not in {@code excluded}. */
  public List<EngineState> usable(String service, Set<String> excluded, long nowMs) {
    List<EngineState> usable = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      EngineInstance instance = engine.instance();
      boolean candidate = instance.service().equals(service) && !excluded.contains(instance.id());
      if (candidate && engine.isUsable(nowMs)) {
        usable.add(engine);
      }
    }
    return usable;
  }

  /**
   * The engines of a service that are in service and not in {@code excluded}, including those
   * ejected after failures.
   */
  public List<EngineState> inService(String service, Set<String> excluded, long nowMs) {
    List<EngineState> inService = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      EngineInstance instance = engine.instance();
      boolean candidate = instance.service().equals(service) && !excluded.contains(instance.id());
      if (candidate && !engine.isOutOfService(nowMs)) {
        inService.add(engine);
      }
    }
    return inService;
  }
}
