package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a quorum acknowledged is never missing and never differs, whatever happens to the disks. */
class TestDurability {
  private static final int SEEDS = 12;
  private static final int STEPS_WITH_FAULTS = 3_000;
  private static final int STEPS_TO_SETTLE = 1_500;

  @TempDir Path root;

  @Test
  void committedEntriesOutlastKillsPowerLossAndDamage() throws IOException {
    int committed = 0;
    int damaged = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      DurabilityModel model = new DurabilityModel(root.resolve("seed-" + seed), seed);
      model.runWithFaults(STEPS_WITH_FAULTS);
      model.settle(STEPS_TO_SETTLE);
      model.assertNothingIsMissing();
      committed += model.committedCount();
      damaged += model.damagedCount();
    }
    assertThat(committed).isGreaterThan(SEEDS * 20);
    assertThat(damaged).isPositive();
  }
}
