package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.eligibility.Eligibility;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The engines known to this process, by id; confined to one thread. */
public final class EngineTable {
  private final Map<String, EngineState> engines = new HashMap<>();
  private final long reportHalfLifeMs;
  private final EngineEligibility eligibility;

  /**
   * Creates an empty table.
   *
   * @param reportHalfLifeMs half-life of the weight of an engine's load report
   * @param eligibility decides which engines may get a request
   */
  public EngineTable(long reportHalfLifeMs, EngineEligibility eligibility) {
    this.reportHalfLifeMs = reportHalfLifeMs;
    this.eligibility = eligibility;
  }

  /** Creates an empty table of a fleet without regions and cold engines. */
  public EngineTable(long reportHalfLifeMs) {
    this(reportHalfLifeMs, EngineEligibility.withoutPlaces());
  }

  /** The rules that decide which engines may get a request. */
  public EngineEligibility eligibility() {
    return eligibility;
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
    engines.put(id, new EngineState(instance, reportHalfLifeMs, eligibility.coldStartLimit()));
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

  /** The engines of a service that may get the request and are not ejected. */
  public List<EngineState> usable(String service, RequestConstraints constraints, long nowMs) {
    List<EngineState> usable = new ArrayList<>();
    for (EngineState engine : inService(service, constraints, nowMs)) {
      if (engine.isUsable(nowMs)) {
        usable.add(engine);
      }
    }
    return usable;
  }

  /**
   * The engines of a service that may get the request; unlike {@link #usable}, this includes
   * ejected engines.
   */
  public List<EngineState> inService(String service, RequestConstraints constraints, long nowMs) {
    List<EngineState> inService = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      boolean ofService = engine.instance().service().equals(service);
      if (ofService && check(engine, constraints, nowMs) == Eligibility.ELIGIBLE) {
        inService.add(engine);
      }
    }
    return inService;
  }

  /**
   * Whether any engine that stays may get the request, now or when it is free, warm and up again.
   */
  public boolean anyMayServe(RequestConstraints constraints, long nowMs) {
    for (EngineState engine : engines.values()) {
      EngineInstance instance = engine.instance();
      Eligibility whenUp = eligibility.check(instance, instance.draining(), constraints, nowMs);
      if (whenUp == Eligibility.ELIGIBLE || whenUp == Eligibility.COLD_LIMIT_REACHED) {
        return true;
      }
    }
    return false;
  }

  /** Counts the engines of a service by whether they may get the request. */
  public Map<Eligibility, Integer> countByEligibility(
      String service, RequestConstraints constraints, long nowMs) {
    Map<Eligibility, Integer> counts = new EnumMap<>(Eligibility.class);
    for (EngineState engine : engines.values()) {
      if (engine.instance().service().equals(service)) {
        counts.merge(check(engine, constraints, nowMs), 1, Integer::sum);
      }
    }
    return counts;
  }

  /**
   * Returns how many requests this process could send until {@code untilMs} to the engines of a
   * service that only its limit of cold engines keeps from getting the request; empty if there are
   * none.
   */
  public OptionalLong coldSendsUntil(
      String service, RequestConstraints constraints, long untilMs, long nowMs) {
    boolean anyCold = false;
    long sends = 0;
    for (EngineState engine : engines.values()) {
      boolean ofService = engine.instance().service().equals(service);
      if (ofService && check(engine, constraints, nowMs) == Eligibility.COLD_LIMIT_REACHED) {
        anyCold = true;
        sends += eligibility.coldStartLimit().sendsAllowedUntil(engine.instance(), untilMs, nowMs);
      }
    }
    return anyCold ? OptionalLong.of(sends) : OptionalLong.empty();
  }

  private Eligibility check(EngineState engine, RequestConstraints constraints, long nowMs) {
    return eligibility.check(engine.instance(), engine.isOutOfService(nowMs), constraints, nowMs);
  }
}
