package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineInstance;
import org.junit.jupiter.api.Test;

/** An item under which engines crash must neither reach one after the other nor stay waiting. */
class TestCrashBackoff {
  private static final long HOUR_MS = 3_600_000;
  private static final int MAX_CRASHES_PER_HOUR = 240;
  private static final long MAX_DELAY_MS = 16_000;
  private static final long MINUTE_MS = 60_000;
  private static final int MAX_CRASHES_PER_MINUTE = 10;

  private final CrashBackoff backoff = new CrashBackoff(0);
  private int engines;

  private EngineInstance nextEngine() {
    return new EngineInstance("e" + engines++, "s", "h:1", "z", 4, false);
  }

  private long crashAgain() {
    EngineInstance engine = nextEngine();
    backoff.onBroken(engine);
    assertThat(backoff.onCrash(engine, null)).isTrue();
    return backoff.delayMs();
  }

  @Test
  void delayGrowsFromTheThirdCrashOnUpToItsLimit() {
    assertThat(crashAgain()).isZero();
    assertThat(crashAgain()).isZero();
    assertThat(crashAgain()).isEqualTo(1_000);
    assertThat(crashAgain()).isEqualTo(2_000);
    assertThat(crashAgain()).isEqualTo(4_000);
    assertThat(crashAgain()).isEqualTo(8_000);
    assertThat(crashAgain()).isEqualTo(MAX_DELAY_MS);
    assertThat(crashAgain()).isEqualTo(MAX_DELAY_MS);
  }

  @Test
  void itemThatCrashesEveryEngineReachesFewInAnHour() {
    assertThat(crashesWithin(HOUR_MS)).isLessThan(MAX_CRASHES_PER_HOUR);
  }

  /** Guards against an item that crashes an engine every few seconds. */
  @Test
  void itemThatCrashesEveryEngineReachesAtMostTenInAMinute() {
    assertThat(crashesWithin(MINUTE_MS)).isLessThanOrEqualTo(MAX_CRASHES_PER_MINUTE);
  }

  private int crashesWithin(long periodMs) {
    int crashes = 0;
    for (long elapsedMs = 0; elapsedMs < periodMs; elapsedMs += crashAgain()) {
      crashes++;
    }
    return crashes;
  }

  /** Guards against a next attempt that begins before the crash of the last one is known. */
  @Test
  void itemWaitsForTheVerdictOnceEnginesHaveCrashedInARow() {
    crashAgain();
    assertThat(backoff.verdictDelayMs()).isZero();
    crashAgain();
    assertThat(backoff.verdictDelayMs()).isPositive();
    backoff.onEvents();
    assertThat(backoff.verdictDelayMs()).isZero();
  }

  @Test
  void recordedCrashesGoOnInTheSameSeries() {
    crashAgain();
    assertThat(backoff.isToBeRecorded()).isFalse();
    crashAgain();
    assertThat(backoff.isToBeRecorded()).isTrue();
    assertThat(new CrashBackoff(backoff.crashes()).verdictDelayMs()).isPositive();
    assertThat(crashAgain()).isEqualTo(new CrashBackoff(backoff.crashes()).delayMs());
  }

  @Test
  void crashOfOneEngineCountsOnce() {
    EngineInstance engine = nextEngine();
    assertThat(backoff.onCrash(engine, engine)).isTrue();
    backoff.onBroken(engine);
    assertThat(backoff.onCrash(engine, null)).isFalse();
  }

  @Test
  void crashOfAnEngineThatDidNotRunTheItemDoesNotCount() {
    backoff.onBroken(nextEngine());
    assertThat(backoff.onCrash(nextEngine(), nextEngine())).isFalse();
  }

  @Test
  void itemThatAdvancedIsNotDelayed() {
    crashAgain();
    crashAgain();
    crashAgain();
    backoff.onEvents();
    assertThat(crashAgain()).isZero();
  }
}
