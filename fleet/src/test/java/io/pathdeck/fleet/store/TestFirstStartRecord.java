package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.Disk;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Only a store that has never heard of a leader lets coordinators found their group anew. */
class TestFirstStartRecord {
  private static final List<String> SEEDS = List.of("a:1", "b:1", "c:1");

  @TempDir Path path;

  private FirstStartRecord open(boolean firstStart, List<String> seeds) {
    DataFolder folder = DataFolder.open(path, Disk.LOCAL).value();
    return FirstStartRecord.open(folder, firstStart, seeds).value();
  }

  @Test
  void seedsOfTheFirstStartOutliveARestartWithOthers() {
    open(true, SEEDS);
    FirstStartRecord later = open(false, List.of("d:1"));
    assertThat(later.tookPart()).isTrue();
    assertThat(later.seedsWithoutLeader()).isEqualTo(SEEDS);
  }

  @Test
  void noneAreToldOnceACoordinatorHasLedAlsoAfterARestart() {
    FirstStartRecord opened = open(true, SEEDS);
    assertThat(opened.onLeader().isOk()).isTrue();
    assertThat(opened.seedsWithoutLeader()).isEmpty();
    FirstStartRecord later = open(true, SEEDS);
    assertThat(later.tookPart()).isTrue();
    assertThat(later.seedsWithoutLeader()).isEmpty();
  }

  @Test
  void storeOfALaterStartTellsNone() {
    FirstStartRecord opened = open(false, SEEDS);
    assertThat(opened.tookPart()).isFalse();
    assertThat(opened.seedsWithoutLeader()).isEmpty();
  }
}
