package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.SnapshotChunk;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A snapshot that arrives after the entries behind it takes none of them away. */
class TestLateSnapshot {
  private static final int GROUP = 1;
  private static final int SELF = 1;
  private static final int LEADER = 2;
  private static final long TERM = 1;
  private static final long NOW_MS = 10_000;
  private static final GroupConfiguration MEMBERS =
      new GroupConfiguration(
          List.of(new Member(SELF, SELF, true, ""), new Member(LEADER, LEADER, true, "")));

  private final RaftReplica follower =
      new RaftReplica(
          GROUP,
          SELF,
          SELF,
          JoinSettings.fixed(Set.of(SELF, LEADER)),
          RaftSettings.DEFAULT,
          new RecoveredState(
              0, RecoveredState.NO_REPLICA, Optional.of(MEMBERS), Optional.empty(), List.of()),
          1,
          0,
          0);

  private static RaftHeader fromLeader() {
    return new RaftHeader(GROUP, LEADER, LEADER, SELF, SELF, TERM);
  }

  private void append(int entries) {
    List<LogEntry> sent =
        LongStream.rangeClosed(1, entries)
            .mapToObj(index -> new LogEntry(index, TERM, new byte[] {(byte) index}, null))
            .toList();
    follower.receive(new AppendRequest(fromLeader(), 0, 0, sent, 0, NOW_MS), NOW_MS);
    follower.takeReady();
    follower.onSynced(entries, TERM, NOW_MS);
  }

  private void receiveSnapshot(long index) {
    follower.receive(
        new SnapshotChunk(fromLeader(), index, TERM, MEMBERS, 0, new byte[] {1}, true, NOW_MS),
        NOW_MS);
    follower
        .takeReady()
        .install()
        .ifPresent(install -> follower.onSnapshotInstalled(install.metadata(), NOW_MS));
  }

  @Test
  void followerKeepsAcknowledgedEntriesBehindLateSnapshot() {
    append(10);
    receiveSnapshot(5);
    assertThat(follower.lastIndex()).isEqualTo(10);
    assertThat(follower.commitIndex()).isEqualTo(5);
  }

  @Test
  void followerInstallsSnapshotBeyondItsLog() {
    append(3);
    receiveSnapshot(5);
    assertThat(follower.lastIndex()).isEqualTo(5);
  }
}
