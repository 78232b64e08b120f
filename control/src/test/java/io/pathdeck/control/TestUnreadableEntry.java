package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.state.FleetStateMachine;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A committed entry that this version cannot read must end the process, not be skipped. */
class TestUnreadableEntry {
  private static final int GROUP = 0;
  private static final int SELF = 1;

  @Test
  void processEndsBeforeTheEntryIsApplied() {
    RaftReplica replica =
        new RaftReplica(
            GROUP,
            SELF,
            1,
            JoinSettings.fixed(Set.of(SELF)),
            RaftSettings.DEFAULT,
            RecoveredState.empty(),
            1,
            0,
            0);
    AtomicInteger ends = new AtomicInteger();
    GroupRuntime group =
        new GroupRuntime(
            GROUP,
            replica,
            new FleetStateMachine(),
            0,
            1 << 20,
            VoterRequirement.none(),
            ends::incrementAndGet);
    LogEntry entry = new LogEntry(1, 1, new byte[] {7, 7, 7, 7}, null);
    assertThatThrownBy(() -> group.apply(entry)).hasMessageContaining("entry 1");
    assertThat(ends).hasValue(1);
    assertThat(group.appliedIndex()).isZero();
  }
}
