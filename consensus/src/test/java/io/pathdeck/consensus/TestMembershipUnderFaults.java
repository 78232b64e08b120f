package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A group keeps a quorum and everything committed through drawn orders of faults. */
class TestMembershipUnderFaults {
  private static final int RUNS = 300;
  private static final int FAULTS = 8;
  private static final int KINDS_OF_FAULTS = 9;
  private static final int TARGET_SIZE = 4;

  /** How long a new leader of the coordinators collects reports. */
  private static final long COLLECTION_MS = 1_000;

  private static final long LONG_REPLACEMENT_DELAY_MS = 4_000;

  @Test
  void toleratesALossOnceTheLastOneIsOver() {
    assertThat(brokenRuns(COLLECTION_MS)).isEmpty();
  }

  /** Shows that the model finds a group whose lost member is replaced too late. */
  @Test
  void lateReplacementAfterLossOfPowerIsFound() {
    assertThat(brokenRuns(LONG_REPLACEMENT_DELAY_MS)).isNotEmpty();
  }

  private static List<String> brokenRuns(long replacementDelayMs) {
    List<String> broken = new ArrayList<>();
    for (long seed = 1; seed <= RUNS; seed++) {
      run(seed, replacementDelayMs).ifPresent(broken::add);
    }
    return broken;
  }

  private static Optional<String> run(long seed, long replacementDelayMs) {
    SplittableRandom random = new SplittableRandom(seed);
    MembershipModel model = new MembershipModel(seed, replacementDelayMs);
    for (int i = 0; i < FAULTS; i++) {
      long countsUntilMs = fault(model, random);
      if (random.nextInt(3) == 0) {
        model.runUntil(model.nowMs() + random.nextLong(2_000));
        countsUntilMs = Math.max(countsUntilMs, model.losePower(Optional.empty()));
      }
      model.runUntil(countsUntilMs);
      if (!model.toleratesALoss()) {
        return Optional.of(seed + ": " + model.history() + " then " + model.members());
      }
    }
    return model.keepsEverything() ? Optional.empty() : Optional.of(seed + ": " + model.history());
  }

  private static long fault(MembershipModel model, SplittableRandom random) {
    List<Integer> ids = model.runningIds();
    int id = ids.get(random.nextInt(ids.size()));
    return switch (random.nextInt(KINDS_OF_FAULTS)) {
      case 0 -> ids.size() < TARGET_SIZE ? model.add() : model.retire(id);
      case 1 -> model.wipe(id);
      case 2 -> model.replace(id);
      case 3 -> model.losePower(Optional.of(id));
      case 4 -> model.loseCoordinator();
      case 5 -> model.cut(id);
      case 6 -> model.suspend(id);
      case 7 -> model.losePower(Optional.empty());
      default -> model.transferLeadership();
    };
  }
}
