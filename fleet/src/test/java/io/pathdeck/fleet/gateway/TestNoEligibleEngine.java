package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.eligibility.Eligibility;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestNoEligibleEngine {
  private static final long USUAL_MS = 200;

  private static NoEligibleEngine of(Map<Eligibility, Integer> counts) {
    return NoEligibleEngine.of(counts, USUAL_MS);
  }

  @Test
  void callersComeBackLaterWhenAllZonesAreEvacuated() {
    assertThat(of(Map.of(Eligibility.ZONE_EVACUATED, 4)))
        .isEqualTo(
            new NoEligibleEngine(
                "no engine left outside evacuated zones", NoEligibleEngine.LASTING_RETRY_AFTER_MS));
  }

  @Test
  void callersComeBackSoonWhileAnEngineMayReturn() {
    Map<Eligibility, Integer> counts =
        Map.of(Eligibility.ZONE_EVACUATED, 4, Eligibility.OUT_OF_SERVICE, 1);
    assertThat(of(counts).retryAfterMs()).isEqualTo(USUAL_MS);
    assertThat(of(Map.of())).isEqualTo(new NoEligibleEngine("no engine left", USUAL_MS));
  }
}
