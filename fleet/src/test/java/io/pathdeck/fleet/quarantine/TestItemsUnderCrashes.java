package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An item must not be held back because the engines that ran it have crashed. */
class TestItemsUnderCrashes {
  private static final RequestFingerprint REQUEST = new RequestFingerprint(1, "same");
  private static final RequestFingerprint ITEM = RequestFingerprint.ofBatchItem(REQUEST);
  private static final RequestFingerprint PART = RequestFingerprints.ofPromptPart("svc", "part");
  private static final int CRASHES = 10;
  private static final long INTERVAL_MS = 500;

  private final CrashCauseDetector detector = new CrashCauseDetector();

  private void addCrash(int number, RequestFingerprint call) {
    detector.add(
        new EngineEnd("engine-" + number, call, false, List.of(), 0, 0), number * INTERVAL_MS);
  }

  private List<RequestFingerprint> causes() {
    return detector.causes(known -> false);
  }

  @Test
  void itemIsNeverACause() {
    for (int number = 1; number <= CRASHES; number++) {
      addCrash(number, ITEM);
    }
    assertThat(causes()).isEmpty();
    assertThat(detector.hasSufficientEvidence(ITEM)).isFalse();
  }

  @Test
  void itemDoesNotHideARequestThatCrashesTheSameEngines() {
    for (int number = 1; number <= CrashCauseDetector.SUFFICIENT_CRASHES; number++) {
      addCrash(number, ITEM);
      addCrash(number, REQUEST);
    }
    assertThat(causes()).containsExactly(REQUEST);
  }

  @Test
  void differentItemsSpeakAgainstThePartThatTheyShare() {
    for (int number = 1; number <= CrashCauseDetector.SUFFICIENT_CRASHES; number++) {
      RequestFingerprint item =
          RequestFingerprint.ofBatchItem(new RequestFingerprint(number, "item-" + number));
      detector.add(
          new EngineEnd("engine-" + number, item, false, List.of(PART), 0, 0),
          number * INTERVAL_MS);
    }
    assertThat(causes()).containsExactly(PART);
  }
}
