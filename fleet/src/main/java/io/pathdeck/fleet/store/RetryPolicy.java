package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * Decides what an attempt without a result means for the engine and for how long the item waits;
 * has no state.
 */
final class RetryPolicy {
  private static final long YIELD_RETRY_DELAY_MS = 400;
  private static final long RETRY_DELAY_MS = 150;
  private static final long MAX_RETRY_DELAY_MS = 2_000;

  /** Delay before a quarantined item is tried again, in case it was released or may be tried. */
  private static final long QUARANTINE_RETRY_DELAY_MS = 500;

  /**
   * Limits the pause of an engine after it refused or broke items, whatever its Retry-After says.
   * The engine may be sound long before, and may be the only one that has room.
   */
  static final long MAX_ENGINE_PAUSE_MS = 2_000;

  /** An item is owed even if each engine writes more than it may have. */
  private static final long MAX_DELAY_AFTER_TOO_LONG_MS = 16_000;

  private static final int MAX_DOUBLINGS = 10;

  /** What becomes of an item after an attempt without a result. */
  enum Consequence {
    /** The item goes on after its last event. */
    RETRY,
    /** The item has to run from its beginning. */
    BEGIN_ANEW,
    /** The item can never succeed. */
    GIVE_UP
  }

  private RetryPolicy() {}

  /** Applies the outcome of an attempt without a result. */
  static Consequence apply(ItemRun run, EngineState engine, ItemOutcome outcome, long nowMs) {
    boolean isLastFailure =
        outcome.kind() == ItemOutcome.Kind.FAILED
            && run.countFailure() >= Math.max(1, run.job.submission().maxAttempts());
    if (isLastFailure || outcome.kind() == ItemOutcome.Kind.IMPOSSIBLE) {
      return Consequence.GIVE_UP;
    }
    delay(run, engine, outcome, nowMs);
    return outcome.kind() == ItemOutcome.Kind.TOO_LONG ? Consequence.BEGIN_ANEW : Consequence.RETRY;
  }

  private static void delay(ItemRun run, EngineState engine, ItemOutcome outcome, long nowMs) {
    if (concernsEngine(outcome.kind())) {
      run.markTried(engine.instance());
    }
    switch (outcome.kind()) {
      case FAILED -> run.waitUntil(nowMs + RETRY_DELAY_MS, WaitReason.RETRY_DELAY);
      case TOO_LONG -> {
        engine.onFailure(nowMs, MAX_ENGINE_PAUSE_MS);
        long delayMs = growingDelayMs(run.countTooLongRun(), MAX_DELAY_AFTER_TOO_LONG_MS);
        run.waitUntil(nowMs + delayMs, WaitReason.RETRY_DELAY);
      }
      case EVICTED -> {
        engine.onFailure(nowMs, MAX_ENGINE_PAUSE_MS);
        delayAfterEviction(run, nowMs);
      }
      case UNCLEAR, UNSUITABLE -> {
        long delayMs = growingDelayMs(run.countUnclearResponse(), MAX_RETRY_DELAY_MS);
        run.waitUntil(nowMs + delayMs, WaitReason.RETRY_DELAY);
      }
      case OTHER_INSTANCE -> engine.onRemoved();
      case QUARANTINED -> run.waitUntil(nowMs + QUARANTINE_RETRY_DELAY_MS, WaitReason.QUARANTINED);
      case YIELDED -> run.waitUntil(nowMs + YIELD_RETRY_DELAY_MS, WaitReason.RETRY_DELAY);
      case REFUSED -> {
        engine.onFull(nowMs, Math.min(outcome.retryAfterMs(), MAX_ENGINE_PAUSE_MS));
        run.waitUntil(nowMs + RETRY_DELAY_MS, WaitReason.RETRY_DELAY);
      }
      case BROKEN -> {
        engine.onFailure(nowMs, MAX_ENGINE_PAUSE_MS);
        run.crashBackoff().onBroken(engine.instance());
        long delayMs = run.crashBackoff().delayAfterBreakMs(engine.instance());
        run.waitUntil(nowMs + delayMs, WaitReason.CRASH_BACKOFF);
      }
      default -> throw new IllegalArgumentException(outcome.kind() + " is not repeated");
    }
  }

  /**
   * Delays the next attempt of an item if the engine that crashed had run it.
   *
   * @return whether the crash is to be recorded in the replicated state
   */
  static boolean onEngineCrashed(ItemRun run, EngineInstance crashed, long nowMs) {
    EngineInstance running = run.isRunning() ? run.engine().instance() : null;
    if (!run.crashBackoff().onCrash(crashed, running)) {
      return false;
    }
    run.waitUntil(nowMs + run.crashBackoff().delayMs(), WaitReason.CRASH_BACKOFF);
    return run.crashBackoff().isToBeRecorded();
  }

  /** Delays the next attempt of an item that lost events to others, which may have brought more. */
  static void delayAfterEviction(ItemRun run, long nowMs) {
    long delayMs = growingDelayMs(run.countTooLongRun(), MAX_RETRY_DELAY_MS);
    run.waitUntil(nowMs + delayMs, WaitReason.RETRY_DELAY);
  }

  private static boolean concernsEngine(ItemOutcome.Kind kind) {
    return kind != ItemOutcome.Kind.YIELDED && kind != ItemOutcome.Kind.QUARANTINED;
  }

  /**
   * The delay doubles with each attempt of a kind, so that an item that no engine completes does
   * not occupy slots continuously.
   */
  private static long growingDelayMs(int attempts, long maxDelayMs) {
    int doublings = Math.min(attempts, MAX_DOUBLINGS);
    return Math.min(RETRY_DELAY_MS << doublings, maxDelayMs);
  }
}
