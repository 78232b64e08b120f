package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import org.junit.jupiter.api.Test;

class TestQuarantineTrials {
  private static final RequestFingerprint PART = RequestFingerprint.ofPromptPart("svc", 1);
  private static final RequestFingerprint SAME = RequestFingerprint.ofPromptPart("other", 1);
  private static final long DAY_MS = 86_400_000;

  private final QuarantineTrials trials = new QuarantineTrials();

  /** Guards against a bad part that reaches more engines than the few that find it sound or bad. */
  @Test
  void partIsTriedWithGrowingPauses() {
    trials.onQuarantined(PART, 0, 0);
    assertThat(trials.grant(PART, 3_999)).isFalse();
    assertThat(trials.grant(PART, 4_000)).isTrue();
    assertThat(trials.grant(PART, 4_001)).as("one process at a time").isFalse();
    assertThat(trials.grant(PART, 19_999)).isFalse();
    assertThat(trials.grant(PART, 20_000)).isTrue();
    assertThat(trials.grant(PART, 83_999)).isFalse();
    assertThat(trials.grant(PART, 84_000)).isTrue();
    assertThat(trials.grant(PART, 147_999)).isFalse();
  }

  @Test
  void partOfTwoServicesIsTriedAsOften() {
    trials.onQuarantined(PART, 0, 0);
    trials.onQuarantined(SAME, 0, 0);
    assertThat(trials.grant(PART, 4_000)).isTrue();
    assertThat(trials.grant(SAME, 4_000)).isFalse();
  }

  @Test
  void partThatIsQuarantinedAgainIsNotTriedSooner() {
    trials.onQuarantined(PART, 0, 0);
    assertThat(trials.grant(PART, 4_000)).isTrue();
    assertThat(trials.grant(PART, 20_000)).isTrue();
    trials.onQuarantined(PART, 0, 30_000);
    assertThat(trials.grant(PART, 83_999)).isFalse();
  }

  /** Guards against a sound request that is held back for minutes since nothing clears it. */
  @Test
  void wholeRequestIsTriedOnce() {
    RequestFingerprint request = new RequestFingerprint(1, "request");
    trials.onQuarantined(request, 0, 0);
    assertThat(trials.grant(request, 3_999)).isFalse();
    assertThat(trials.grant(request, 4_000)).isTrue();
    assertThat(trials.grant(request, DAY_MS)).isFalse();
  }

  @Test
  void leaderGrantsNoTrialOfARequestThatAnotherOneHasGranted() {
    RequestFingerprint request = new RequestFingerprint(1, "request");
    trials.onQuarantined(request, QuarantineTrials.MAX_TRIALS_OF_REQUEST, 0);
    assertThat(trials.grant(request, DAY_MS)).isFalse();
  }

  @Test
  void leaderGrantsNoEarlyTrialOfAPartThatOthersHaveTriedTwice() {
    trials.onQuarantined(PART, 2, 0);
    assertThat(trials.grant(PART, QuarantineTrials.MAX_DELAY_MS - 1)).isFalse();
  }

  /**
   * Guards against a sound part that is held back for minutes since another leader held it back.
   */
  @Test
  void newLeaderGrantsTheTrialsThatAreLeft() {
    trials.onQuarantined(PART, 1, 0);
    assertThat(trials.grant(PART, 3_999)).isFalse();
    assertThat(trials.grant(PART, 4_000)).isTrue();
    assertThat(trials.grant(PART, 67_999)).isFalse();
  }

  @Test
  void nothingIsTriedThatIsNotKnownToBeQuarantined() {
    assertThat(trials.grant(PART, DAY_MS)).isFalse();
  }
}
