package io.pathdeck.testkit.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The promises hold on fixed seeds, and the oracle notices every planted defect. */
class TestSimulation {
  private static final long SEEDS_PER_SCENARIO = 3;
  private static final long SEEDS_PER_DEFECT = 64;
  private static final int BLOCK = 8;

  @ParameterizedTest
  @EnumSource(Scenario.class)
  void promisesHold(Scenario scenario) {
    List<SimRun.Outcome> outcomes =
        LongStream.rangeClosed(1, SEEDS_PER_SCENARIO)
            .parallel()
            .mapToObj(seed -> new SimRun(10_000 + seed, scenario, Defect.NONE).run())
            .toList();
    for (SimRun.Outcome outcome : outcomes) {
      assertThat(outcome.violations()).as("seed %d", outcome.seed()).isEmpty();
      assertThat(outcome.answered()).isPositive();
    }
  }

  @ParameterizedTest
  @EnumSource(value = Defect.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void everyPlantedDefectIsCaught(Defect defect) {
    assertThat(isCaught(defect)).as(defect.optionName()).isTrue();
  }

  private static boolean isCaught(Defect defect) {
    for (long first = 1; first <= SEEDS_PER_DEFECT; first += BLOCK) {
      boolean caught =
          LongStream.range(first, first + BLOCK)
              .parallel()
              .anyMatch(seed -> !new SimRun(seed, defect.scenario(), defect).run().isClean());
      if (caught) {
        return true;
      }
    }
    return false;
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    SimRun.Outcome first = new SimRun(7, Scenario.MIXED, Defect.NONE).run();
    SimRun.Outcome second = new SimRun(7, Scenario.MIXED, Defect.NONE).run();
    assertThat(second.digest()).isEqualTo(first.digest());
  }
}
