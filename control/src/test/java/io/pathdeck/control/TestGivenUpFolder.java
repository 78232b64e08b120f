package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.StorageError;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A folder that is given up is either the damaged one or an empty one, and founds no group. */
class TestGivenUpFolder {
  private static final String LOG = "log-000000000001";
  private static final String SNAPSHOT = "snapshot-1-000000000000005";
  private static final StorageError DAMAGE = new StorageError.Damaged(LOG, 7);
  private static final int RUNS = 100;
  private static final long PATIENCE_MS = 3_000;

  @TempDir Path root;

  private static Result<DataFolder, StorageError> openAsDamaged(Path path, PowerLossDisk disk) {
    return FolderRecovery.open(
        path,
        disk,
        folder ->
            folder.readFile(LOG).value().isPresent() ? Result.err(DAMAGE) : Result.ok(folder));
  }

  @Test
  void killOrPowerLossMidwayLeavesNoMixture() throws IOException {
    Set<Integer> completedAt = new HashSet<>();
    for (int run = 0; run < RUNS; run++) {
      Path path = root.resolve("run-" + run);
      PowerLossDisk disk = new PowerLossDisk(run);
      DataFolder damaged = DataFolder.open(path, disk).value();
      damaged.writeFile(LOG, "log");
      damaged.writeFile(SNAPSHOT, "snapshot");
      disk.killBeforeOperation(run % (RUNS / 2) + 1);
      if (openAsDamaged(path, disk).isOk()) {
        completedAt.add(run);
      }
      disk.restart();
      if (run >= RUNS / 2) {
        disk.losePower();
      }
      DataFolder next = DataFolder.open(path, disk).value();
      boolean isDamagedOne = next.incarnation() == damaged.incarnation();
      assertThat(next.isGivenUp()).as("run %d", run).isEqualTo(!isDamagedOne);
      assertThat(next.readFile(LOG).value().isPresent()).as("run %d", run).isEqualTo(isDamagedOne);
      assertThat(next.readFile(SNAPSHOT).value().isPresent())
          .as("run %d", run)
          .isEqualTo(isDamagedOne);
    }
    assertThat(completedAt).isNotEmpty().doesNotContain(0, RUNS / 2);
  }

  @Test
  void unreadableFileIsNotTakenForMissing() throws IOException {
    DataFolder folder = DataFolder.open(root.resolve("folder")).value();
    Files.write(folder.path().resolve(LOG), new byte[] {(byte) 0xff});
    assertThat(folder.readFile(LOG).error().isDamage()).isTrue();
    assertThat(folder.readFile(SNAPSHOT).value()).isEmpty();
  }

  @Test
  void keepsTheContentOfTheNewestOnly() throws IOException {
    PowerLossDisk disk = new PowerLossDisk(1);
    Path path = root.resolve("folder");
    DataFolder.open(path, disk).value().writeFile(LOG, "first");
    assertThat(openAsDamaged(path, disk).value().hasSetAside()).isTrue();
    DataFolder.open(path, disk).value().writeFile(LOG, "second");
    DataFolder last = openAsDamaged(path, disk).value();
    assertThat(path.resolve("damaged").resolve(LOG)).hasContent("second");
    last.discardSetAside();
    assertThat(Files.exists(path.resolve("damaged"))).isFalse();
  }

  @Test
  void replicasThatGaveUpTheirFoldersFoundNoGroup() throws Exception {
    try (HostedGroup group = new HostedGroup(root)) {
      group.start(1, 2, 3);
      group.commit(1);
      group.stop(1, 2, 3);
      for (int id = 1; id <= 3; id++) {
        Path log = PowerLossDisk.files(group.folder(id), "log-")[0];
        group.disk(id).damage(log, PowerLossDisk.lastFrame(log) + 20);
        DataFolder.open(group.folder(id), group.disk(id)).value().writeFile("log-000000000009", "");
      }
      group.start(1, 2, 3);
      assertThat(group.leadsWithin(PATIENCE_MS)).isFalse();
    }
  }
}
