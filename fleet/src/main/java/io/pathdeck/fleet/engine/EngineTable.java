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

  /** Applies the list of engines; engines missing from it get no new calls. */
  public void update(Map<String, EngineInstance> listed) {
    engines
        .entrySet()
        .removeIf(
            entry -> {
              boolean missing = !listed.containsKey(entry.getKey());
              if (missing) {
                entry.getValue().onRemoved();
              }
              return missing;
            });
    listed.forEach(this::update);
  }

  /** Adds or updates an engine; the state of an earlier instance is discarded. */
  private void update(String id, EngineInstance instance) {
    EngineState known = engines.get(id);
    if (known != null && known.instance().lifeId().equals(instance.lifeId())) {
      known.update(instance);
      return;
    }
    if (known != null) {
      known.onRemoved();
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

  public boolean anyReportsPace() {
    for (EngineState engine : engines.values()) {
      if (engine.reportsPace()) {
        return true;
      }
    }
    return false;
  }

  /** The engines of all services. */
  public Collection<EngineState> all() {
    return engines.values();
  }

  /** The engine with this id, or null. */
  public EngineState find(String id) {
    return engines.get(id);
  }

  /** Computes the pace of a service from all its engines, including unusable ones. */
  public ServicePace pace(String service, long nowMs) {
    List<EngineState> ofService = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      if (engine.instance().service().equals(service)) {
        ofService.add(engine);
      }
    }
    return ServicePace.of(ofService, nowMs);
  }

  /** The usable engines of a service, without the ids in {@code excluded}. */
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
   * The engines of a service that are not out of service, without the ids in {@code excluded};
   * unlike {@link #usable}, this includes ejected engines.
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
