package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.Member;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a replica acknowledges after it was killed must outlast a loss of power. */
class TestKilledThenPowerLoss {
  private static final int GROUP = 1;
  private static final int SELF = 1;
  private static final int SYNCED = 19;

  @TempDir Path path;

  private PowerLossDisk disk;
  private DataFolder folder;

  /** Opens the log as a new life of the process. */
  private SegmentedLog open(RecoveredGroups recovered) {
    disk.restart();
    folder = DataFolder.open(path, disk).value();
    return SegmentedLog.open(folder, recovered::replay).value();
  }

  private static LogRecord entry(long index) {
    return new EntryRecord(GROUP, new LogEntry(index, 1, new byte[] {(byte) index}, null));
  }

  private RaftReplica replica(RecoveredGroups recovered) throws IOException {
    return new RaftReplica(
        GROUP,
        SELF,
        folder.incarnation(),
        JoinSettings.fixed(Set.of(SELF, 2, 3)),
        RaftSettings.DEFAULT,
        recovered.state(GROUP, Optional.empty()),
        1,
        0,
        0);
  }

  /** The seeds lose the entry wholly, and in part. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void entryThatWasNotSyncedBeforeTheKillOutlastsPowerOnceAcknowledged(long seed)
      throws IOException {
    disk = new PowerLossDisk(seed);
    try (SegmentedLog log = open(new RecoveredGroups())) {
      GroupConfiguration configuration =
          new GroupConfiguration(List.of(new Member(SELF, folder.incarnation(), true, "")));
      log.append(List.of(new BootstrapRecord(GROUP, configuration)));
      for (long index = 1; index <= SYNCED; index++) {
        log.append(List.of(entry(index)));
      }
      disk.killBeforeSync(1);
      assertThatThrownBy(() -> log.append(List.of(entry(SYNCED + 1)))).hasMessageContaining("kill");
    }
    RecoveredGroups afterKill = new RecoveredGroups();
    open(afterKill).close();
    long acknowledged = replica(afterKill).matchIndex(SELF);
    assertThat(acknowledged).isEqualTo(SYNCED + 1);

    disk.losePower();
    RecoveredGroups afterPowerLoss = new RecoveredGroups();
    open(afterPowerLoss).close();
    assertThat(replica(afterPowerLoss).lastIndex()).isGreaterThanOrEqualTo(acknowledged);
  }
}
