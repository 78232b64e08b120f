package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.Ready;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.state.FleetStateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A new group with fewer voters than its tolerated losses need commits, but does not say so. */
class TestNewGroupAcknowledgements {
  private static final int GROUP = 0;
  private static final int FOUNDER = 1;
  private static final int TOLERATED_LOSSES = 2;
  private static final long STEP_MS = 10;

  private final MembershipPolicy policy = MembershipPolicy.openTolerating(TOLERATED_LOSSES);
  private final RaftReplica replica =
      new RaftReplica(
          GROUP,
          FOUNDER,
          1,
          new JoinSettings(Set.of(FOUNDER), Set.of(FOUNDER), "h:1", policy),
          RaftSettings.DEFAULT,
          RecoveredState.empty(),
          1,
          0,
          0);
  private final GroupRuntime group =
      new GroupRuntime(
          GROUP,
          replica,
          new FleetStateMachine(),
          0,
          1 << 20,
          new VoterRequirement(policy.minVoters(), false, 0),
          () -> {});
  private long nowMs;

  private void runUntil(long endMs) {
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      replica.poll(nowMs);
      group.followRole();
      group.onStep(nowMs);
      Ready ready = replica.takeReady();
      ready.records().stream()
          .filter(EntryRecord.class::isInstance)
          .map(stored -> ((EntryRecord) stored).entry())
          .forEach(entry -> replica.onSynced(entry.index(), entry.term(), nowMs));
      ready.committed().forEach(group::apply);
    }
  }

  @Test
  void acknowledgementWaitsForFurtherVotersAtMostForTheBound() {
    List<Message> replies = new ArrayList<>();
    runUntil(2_000);
    assertThat(replica.role()).isEqualTo(ReplicaRole.LEADER);
    group.propose("", 0, new SetStoreLeaving("store", 7), replies::add, ControllerClock.system());
    runUntil(VoterRequirement.MAX_HOLD_MS - STEP_MS);
    assertThat(((FleetStateMachine) group.stateMachine()).leavingStores()).hasSize(1);
    assertThat(replies).isEmpty();
    runUntil(VoterRequirement.MAX_HOLD_MS + STEP_MS);
    assertThat(replies).singleElement().isInstanceOf(ProposeReply.class);
  }
}
