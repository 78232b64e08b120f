package io.pathdeck.fleet.warmup;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.eligibility.ColdStartLimit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The limit of a gateway: all gateways together send a cold engine at most the requests that its
 * service allows, and an engine that has turned warm gets more in steps. Performs no I/O; confined
 * to one thread.
 */
public final class ColdStartBudget implements ColdStartLimit {
  private static final EventLog EVENTS = EventLog.of(ColdStartBudget.class);
  private static final int UNLIMITED = Integer.MAX_VALUE;
  private static final long RATE_PERIOD_MS = 1_000;

  private final GatewayShares shares;
  private final BooleanSupplier isConfirmed;
  private final ColdStartMetrics metrics;
  private final ColdEngines engines = new ColdEngines();
  private Consumer<EngineInstance> reportRequester;
  private long confirmedAtMs = Long.MIN_VALUE;
  private boolean suspended;

  /**
   * Creates the limit of a gateway.
   *
   * @param gatewayName the gateway's name in the list of processes
   * @param isConfirmed whether the leading coordinator has answered within {@value
   *     GatewayShares#CONFIRMATION_VALID_MS} ms
   */
  public ColdStartBudget(
      String gatewayName, BooleanSupplier isConfirmed, ColdStartMetrics metrics) {
    this.shares = new GatewayShares(gatewayName);
    this.isConfirmed = isConfirmed;
    this.metrics = metrics;
  }

  /**
   * Sets what asks an engine for a report. An engine whose cold time has ended may have been
   * restarted since, and the list is behind: until it reports, or the list must show it, it stays
   * limited, and gets nothing while the leading coordinator does not confirm the list.
   */
  public void setReportRequester(Consumer<EngineInstance> requester) {
    reportRequester = requester;
  }

  /** Applies a change of the fleet's state; call before engines are chosen from it. */
  public void onChange(FleetView view, long nowMs) {
    shares.onChange(view, nowMs);
    engines.onChange(view, nowMs);
  }

  /** Call several times a second. */
  public void onTick(long nowMs) {
    boolean confirmed = isConfirmed.getAsBoolean();
    if (confirmed) {
      confirmedAtMs = nowMs;
    }
    shares.onTick(confirmed, nowMs);
    int cold = engines.countCold(nowMs);
    metrics.setColdEngines(cold);
    boolean nowSuspended = cold > 0 && !confirmed;
    if (nowSuspended != suspended) {
      suspended = nowSuspended;
      EventCode code = nowSuspended ? EventCode.COLD_SENDS_SUSPENDED : EventCode.COLD_SENDS_RESUMED;
      EVENTS.log(code, "cold_engines", cold);
    }
  }

  @Override
  public boolean allows(EngineInstance engine, long nowMs) {
    return sendsAllowedUntil(engine, nowMs, nowMs) > 0;
  }

  @Override
  public int sendsAllowedUntil(EngineInstance engine, long untilMs, long nowMs) {
    ColdRule rule = engines.rule(engine);
    ColdEngine known = engines.find(engine);
    if (rule == null || known == null) {
      return UNLIMITED;
    }
    if (known.takeDown()) {
      engines.assumeCold(engine, known, rule, "back", nowMs);
      if (reportRequester != null && !isConfirmed.getAsBoolean()) {
        requestReport(engine, known, nowMs);
      }
    }
    boolean mayBeColdAgain = mayBeColdAgain(known, nowMs);
    if (mayBeColdAgain) {
      requestReport(engine, known, nowMs);
      if (!isConfirmed.getAsBoolean()) {
        return untilMs > nowMs ? 1 : 0;
      }
    }
    int limit = mayBeColdAgain ? known.coldLimit(rule, untilMs) : known.limit(rule, untilMs);
    if (limit == UNLIMITED) {
      return UNLIMITED;
    }
    if (!shares.isUsable(isConfirmed.getAsBoolean(), rule.windowMs(), nowMs)) {
      return mayBeColdAgain || known.isCold(untilMs) ? 0 : UNLIMITED;
    }
    int sent = known.sends().countAfter(untilMs - rule.windowMs());
    return Math.max(0, known.share(limit, shares) - sent);
  }

  /** Whether an engine that turned warm may have been restarted since, by what is known of it. */
  private boolean mayBeColdAgain(ColdEngine known, long nowMs) {
    long listedUpToMs = Math.min(confirmedAtMs, nowMs - ColdEngine.LIST_DELAY_MS);
    return reportRequester != null
        && !known.isCold(nowMs)
        && known.isUnheardSinceCold(listedUpToMs);
  }

  private void requestReport(EngineInstance engine, ColdEngine known, long nowMs) {
    if (known.takeReportRequest(nowMs)) {
      reportRequester.accept(engine);
    }
  }

  @Override
  public void onReport(EngineInstance engine, long bornMs, long nowMs) {
    engines.onReport(engine, bornMs, nowMs);
  }

  @Override
  public void onStart(EngineInstance engine, long nowMs) {
    ColdRule rule = engines.rule(engine);
    ColdEngine known = engines.find(engine);
    if (rule == null || known == null) {
      return;
    }
    known.sends().onSend(rule.windowMs(), nowMs);
    if (known.isCold(nowMs)) {
      metrics.onColdSend(known.sends().countAfter(nowMs - RATE_PERIOD_MS));
    }
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
  public void onDown(EngineInstance engine, long nowMs) {
    ColdEngine known = engines.find(engine);
    if (known != null) {
      known.onDown();
    }
  }
}
