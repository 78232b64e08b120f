package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import org.junit.jupiter.api.Test;

class TestEngineEndLedger {
  private static final RequestFingerprint BAD = new RequestFingerprint(1, "bad");
  private static final RequestFingerprint BESIDE = new RequestFingerprint(2, "beside");
  private static final long LATER_MS = 61_000;

  private final EngineEndLedger ledger = new EngineEndLedger();

  private void ended(RequestFingerprint request, String... engines) {
    for (String engine : engines) {
      ledger.note(new EngineEnd(engine, request, false), 0);
    }
  }

  private void endedWhileAnswering(RequestFingerprint request, String... engines) {
    for (String engine : engines) {
      ledger.note(new EngineEnd(engine, request, true), 0);
    }
  }

  @Test
  void threeEndsUnderOneRequestMakeItTheCause() {
    ended(BAD, "a", "b");
    assertThat(ledger.causes(known -> false)).isEmpty();
    ended(BAD, "c");
    assertThat(ledger.causes(known -> false)).containsExactly(BAD);
  }

  @Test
  void sameEndToldTwiceCountsOnce() {
    ended(BAD, "a", "a", "a", "b");
    assertThat(ledger.causes(known -> false)).isEmpty();
  }

  @Test
  void requestBesideTheCauseIsNotOne() {
    ended(BESIDE, "a", "b", "c");
    ended(BAD, "a", "b", "c", "d");
    assertThat(ledger.causes(held -> false)).containsExactly(BAD);
  }

  /**
   * Two requests end engines, and an innocent one was beside both before either had ended three.
   * Evidence: in the soak a request was held back that two callers had sent, after engines 1 and 2
   * had ended under the one cause and engine 0 under the other.
   */
  @Test
  void requestBesideTwoCausesIsClearedOnceTheyArePlain() {
    ended(BESIDE, "a", "b", "c");
    ended(BAD, "a", "b");
    assertThat(ledger.causes(held -> false)).containsExactly(BESIDE);
    ended(BAD, "d", "e");
    assertThat(ledger.causes(BESIDE::equals)).containsExactly(BAD);
    assertThat(ledger.canJudge(BESIDE)).isTrue();
  }

  @Test
  void amongEqualsTheOneThatIsHeldStaysHeld() {
    ended(BAD, "a", "b", "c");
    ended(BESIDE, "a", "b", "c");
    assertThat(ledger.causes(BESIDE::equals)).containsExactly(BESIDE);
    assertThat(ledger.causes(BAD::equals)).containsExactly(BAD);
  }

  @Test
  void endsThatTheCauseDoesNotExplainCount() {
    ended(BAD, "a", "b", "c", "d");
    ended(BESIDE, "a", "e", "f", "g");
    assertThat(ledger.causes(known -> false)).containsExactly(BAD, BESIDE);
  }

  @Test
  void requestThatWasBeingAnsweredCountsHalf() {
    endedWhileAnswering(BESIDE, "a", "b", "c", "d", "e");
    assertThat(ledger.causes(known -> false)).isEmpty();
    endedWhileAnswering(BESIDE, "f");
    assertThat(ledger.causes(known -> false)).containsExactly(BESIDE);
  }

  @Test
  void servedRequestIsCleared() {
    ended(BAD, "a", "b");
    ledger.clear(BAD);
    ended(BAD, "c");
    assertThat(ledger.causes(known -> false)).isEmpty();
  }

  @Test
  void oldEndsDoNotCount() {
    ended(BAD, "a", "b");
    ledger.expire(LATER_MS);
    ended(BAD, "c");
    assertThat(ledger.causes(known -> false)).isEmpty();
  }

  @Test
  void manyDistinctRequestsTakeBoundedMemory() {
    for (int number = 0; number < 10_000; number++) {
      ended(new RequestFingerprint(number, "request-" + number), "a");
    }
    assertThat(ledger.mayKnow(0)).isFalse();
    assertThat(ledger.mayKnow(9_999)).isTrue();
  }
}
