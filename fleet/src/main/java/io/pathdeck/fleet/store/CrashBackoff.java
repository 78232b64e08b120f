package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * Delays an item after engines have crashed under it one after the other, so that it reaches few
 * engines if it is the reason, and soon goes on if it is not; confined to the consensus thread.
 *
 * <p>The delay doubles with each crash and has an upper limit: the item is owed to its owner,
 * whatever happened to the engines. An event that an engine wrote ends the series.
 */
final class CrashBackoff {
  /** Crashes of other reasons often hit an item twice in a row. */
  private static final int CRASHES_WITHOUT_DELAY = 2;

  private static final long FIRST_DELAY_MS = 1_000;

  /** Limits the delay to 16 s: the item is owed, and six crashes in a row may still be chance. */
  private static final int MAX_DOUBLINGS = 4;

  private static final String NONE = "";

  private String brokenLifeId = NONE;
  private String crashedLifeId = NONE;
  private int crashes;

  /** Continues after the crashes that are recorded. */
  CrashBackoff(int crashes) {
    this.crashes = crashes;
  }

  /** Records that the connection to an engine that ran the item was lost. */
  void onBroken(EngineInstance engine) {
    brokenLifeId = engine.lifeId();
  }

  /** Records that the item advanced. */
  void onEvents() {
    crashes = 0;
  }

  /**
   * Counts the crash of an engine, once, if it runs the item or broke its last attempt.
   *
   * @param running the engine that runs the item; null if it does not run
   * @return whether the crash counts
   */
  boolean onCrash(EngineInstance crashed, EngineInstance running) {
    String lifeId = crashed.lifeId();
    boolean ranHere =
        lifeId.equals(brokenLifeId) || (running != null && lifeId.equals(running.lifeId()));
    if (!ranHere || lifeId.equals(crashedLifeId)) {
      return false;
    }
    crashedLifeId = lifeId;
    crashes++;
    return true;
  }

  /** The crashes since the item last advanced. */
  int crashes() {
    return crashes;
  }

  /** Whether the next crash delays the item, which a new leader has to know. */
  boolean isToBeRecorded() {
    return crashes >= CRASHES_WITHOUT_DELAY;
  }

  /**
   * How long the item waits to learn whether the engine that broke its last attempt has crashed.
   */
  long verdictDelayMs() {
    return isToBeRecorded() ? EngineLivenessProbe.TIMEOUT_MS : 0;
  }

  /**
   * How long the item waits after an engine broke its attempt. The crash may be known before the
   * end of the attempt is.
   */
  long delayAfterBreakMs(EngineInstance engine) {
    return engine.lifeId().equals(crashedLifeId) ? delayMs() : verdictDelayMs();
  }

  /** How long the item waits after its last crash. */
  long delayMs() {
    if (crashes <= CRASHES_WITHOUT_DELAY) {
      return 0;
    }
    int doublings = Math.min(crashes - CRASHES_WITHOUT_DELAY - 1, MAX_DOUBLINGS);
    return FIRST_DELAY_MS << doublings;
  }
}
