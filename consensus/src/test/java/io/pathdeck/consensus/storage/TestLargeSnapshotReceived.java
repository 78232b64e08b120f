package io.pathdeck.consensus.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.SnapshotInstall;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.protocol.query.BatchItemBody;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.SnapshotChunk;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against replicas that end by heap space while they receive a large snapshot, since its
 * content stands in memory several times. A process with a heap of three times the snapshot, and 16
 * MB for everything else, receives and restores it.
 */
class TestLargeSnapshotReceived {
  private static final int GROUP = 1;
  private static final long INDEX = 100;
  private static final int MEGABYTE = 1 << 20;
  private static final int RECORD_LENGTH = 64 * 1024;
  private static final int PART_LENGTH = 512 * 1024;
  private static final long PATIENCE_S = 60;
  private static final GroupConfiguration MEMBERS =
      new GroupConfiguration(List.of(new Member(1, 1, true), new Member(2, 2, true)));

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(ints = {8, 24, 48})
  void itsContentStandsInMemoryOnce(int megabytes) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + (3 * megabytes + 16) + "m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                Receiver.class.getName(),
                folder.toString(),
                String.valueOf(megabytes))
            .inheritIO()
            .start();
    try {
      assertThat(process.waitFor(PATIENCE_S, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isZero();
    } finally {
      process.destroyForcibly();
    }
  }

  /** A process that receives a snapshot part by part, as from a leader, and restores it. */
  static final class Receiver {
    private Receiver() {}

    public static void main(String[] arguments) throws Exception {
      Path folder = Path.of(arguments[0]);
      int records = Integer.parseInt(arguments[1]) * (MEGABYTE / RECORD_LENGTH);
      SnapshotFiles sent = new SnapshotFiles(DataFolder.open(folder.resolve("sent")).value());
      Iterator<Object> content =
          Stream.<Object>generate(() -> new BatchItemBody(new byte[RECORD_LENGTH]))
              .limit(records)
              .iterator();
      sent.write(GROUP, new SnapshotMetadata(INDEX, 1, MEMBERS), content);
      SnapshotFiles stored = new SnapshotFiles(DataFolder.open(folder.resolve("stored")).value());
      RaftReplica replica = follower();
      SnapshotMetadata metadata = receive(replica, sent, stored);
      List<Object> restored = new ArrayList<>();
      stored.read(GROUP).forEachRemaining(restored::add);
      replica.onSnapshotInstalled(metadata, 0);
      System.exit(restored.size() == records && replica.commitIndex() == INDEX ? 0 : 1);
    }

    private static RaftReplica follower() {
      JoinSettings settings =
          new JoinSettings(Set.of(), Set.of(), "host:1", MembershipPolicy.openTolerating(1));
      RaftReplica replica =
          new RaftReplica(
              GROUP, 1, 1, settings, RaftSettings.DEFAULT, RecoveredState.empty(), 1, 0, 0);
      replica.bootstrap(MEMBERS, 0);
      return replica;
    }

    private static SnapshotMetadata receive(
        RaftReplica replica, SnapshotFiles sent, SnapshotFiles stored) throws Exception {
      RaftHeader header = new RaftHeader(GROUP, 2, 2, 1, 1, 1);
      long offset = 0;
      while (true) {
        byte[] part = sent.readChunk(GROUP, offset, PART_LENGTH).value();
        boolean last = offset + part.length >= sent.newestLength(GROUP);
        replica.receive(new SnapshotChunk(header, INDEX, 1, MEMBERS, offset, part, last, 0), 0);
        offset += part.length;
        Optional<SnapshotInstall> install = replica.takeReady().install();
        if (install.isPresent()) {
          stored.store(GROUP, install.get());
          return install.get().metadata();
        }
      }
    }
  }
}
