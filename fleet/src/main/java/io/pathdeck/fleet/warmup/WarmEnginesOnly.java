package io.pathdeck.fleet.warmup;

import io.pathdeck.fleet.eligibility.ColdStartLimit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * The limit of a store: items of batch jobs start on warm engines only, so that callers' requests
 * get all that cold engines can take. A store that sends a cold engine nothing does not notice its
 * restart, so once the cold time has ended the engine gets items only after a report, or when the
 * list would show the restart. Performs no I/O; confined to one thread.
 */
public final class WarmEnginesOnly implements ColdStartLimit {
  private final ColdEngines engines = new ColdEngines();

  /** Applies a change of the fleet's state; call before engines are chosen from it. */
  public void onChange(FleetView view, long nowMs) {
    engines.onChange(view, nowMs);
  }

  @Override
  public boolean allows(EngineInstance engine, long nowMs) {
    ColdRule rule = engines.rule(engine);
    ColdEngine known = engines.find(engine);
    if (rule == null || known == null) {
      return true;
    }
    if (known.takeDown()) {
      engines.assumeCold(engine, known, rule, "back", nowMs);
    }
    return !known.isCold(nowMs) && !known.isUnheardSinceCold(nowMs - ColdEngine.LIST_DELAY_MS);
  }

  @Override
  public boolean appliesTo(EngineInstance engine) {
    return engines.rule(engine) != null;
  }

  @Override
  public void onColdTold(EngineInstance engine, long coldLeftMs, long nowMs) {
    engines.onTold(engine, coldLeftMs, nowMs);
  }

  @Override
  public void onReport(EngineInstance engine, long bornMs, long nowMs) {
    engines.onReport(engine, bornMs, nowMs);
  }

  @Override
  public void onDown(EngineInstance engine, long nowMs) {
    ColdEngine known = engines.find(engine);
    if (known != null) {
      known.onDown();
    }
  }
}
