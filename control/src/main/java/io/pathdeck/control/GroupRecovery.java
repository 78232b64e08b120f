package io.pathdeck.control;

import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.state.JobsStateMachine;
import io.pathdeck.state.MetaStateMachine;
import io.pathdeck.state.StateMachine;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Rebuilds the groups of a controller from its snapshots and log.
 *
 * @param controllers the number of controllers; their ids start at 1
 * @param snapshotThresholdBytes the least size of a group's log that is worth a snapshot
 */
public record GroupRecovery(
    int controllerId,
    long incarnation,
    int controllers,
    RaftSettings raftSettings,
    long snapshotThresholdBytes,
    boolean mayFound) {

  /** Rebuilds the meta group and all jobs partitions. */
  public Map<Integer, GroupRuntime> recover(
      int partitions, RecoveredGroups recovered, GroupStorage storage, long nowMs)
      throws IOException {
    Map<Integer, GroupRuntime> groups = new TreeMap<>();
    for (int group = 0; group <= partitions; group++) {
      groups.put(group, recoverGroup(group, recovered, storage, nowMs));
    }
    return groups;
  }

  private GroupRuntime recoverGroup(
      int group, RecoveredGroups recovered, GroupStorage storage, long nowMs) throws IOException {
    boolean meta = group == ControllerProcess.META_GROUP;
    StateMachine machine = meta ? new MetaStateMachine() : new JobsStateMachine();
    Optional<SnapshotMetadata> snapshot = storage.newestSnapshot(group);
    if (snapshot.isPresent()) {
      machine.restoreSnapshot(storage.readSnapshot(group));
    }
    RecoveredState state = recovered.state(group, snapshot);
    Set<Integer> ids = IntStream.rangeClosed(1, controllers).boxed().collect(Collectors.toSet());
    JoinSettings join = JoinSettings.fixed(ids);
    RaftReplica replica =
        new RaftReplica(
            group,
            controllerId,
            incarnation,
            mayFound ? join : join.joiningOnly(),
            raftSettings,
            state,
            incarnation + group,
            nowMs,
            nowMs);
    long applied = snapshot.map(SnapshotMetadata::index).orElse(0L);
    RecoveryEvents.log(replica, group, applied, recovered.summary(group));
    return new GroupRuntime(
        group,
        replica,
        machine,
        applied,
        snapshotThresholdBytes,
        VoterRequirement.none(),
        ReplicaHost::haltAfterFailure);
  }
}
