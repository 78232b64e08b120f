package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.RaftHeader;
import java.util.Optional;
import java.util.Set;

/**
 * How a replica with an empty disk comes into the group.
 *
 * <p>A new group starts once every controller was heard to have an empty disk; all derive the same
 * first configuration from what they heard. A replica that finds a group already started takes over
 * that group's first configuration. If the configuration does not name its incarnation, its disk
 * was lost: it follows without a vote until the leader admits the new incarnation.
 */
final class JoinProtocol {
  private static final long JOIN_INTERVAL_MS = 200;

  private final ReplicaState state;
  private final Set<Integer> controllerIds;
  private final JoinTracker joins = new JoinTracker();
  private GroupConfiguration bootstrap;
  private long nextJoinMs;

  JoinProtocol(
      ReplicaState state, Set<Integer> controllerIds, Optional<GroupConfiguration> bootstrap) {
    this.state = state;
    this.controllerIds = Set.copyOf(controllerIds);
    this.bootstrap = bootstrap.orElse(null);
  }

  boolean isController(int id) {
    return controllerIds.contains(id);
  }

  /** Announces the empty disk; returns whether the first configuration is now known. */
  boolean poll(long nowMs) {
    if (nowMs < nextJoinMs) {
      return false;
    }
    joins.heard(state.id, state.incarnation);
    sendJoinRequests(false, nowMs);
    return tryBootstrap();
  }

  /** Asks for admission, for a replica that follows without being a member. */
  void askToJoin(long nowMs) {
    if (nowMs >= nextJoinMs) {
      sendJoinRequests(true, nowMs);
    }
  }

  private void sendJoinRequests(boolean bootstrapped, long nowMs) {
    nextJoinMs = nowMs + JOIN_INTERVAL_MS;
    for (int peer : controllerIds) {
      if (peer != state.id) {
        state.messages.add(new JoinRequest(state.header(peer, 0), bootstrapped, bootstrap));
      }
    }
  }

  /** Handles a peer's request here; returns whether the first configuration is now known. */
  boolean onJoinRequestWhileJoining(JoinRequest join) {
    if (!join.bootstrapped()) {
      joins.heard(join.header().from(), join.header().fromIncarnation());
      return tryBootstrap();
    }
    if (join.bootstrapConfiguration() == null) {
      return false;
    }
    adopt(join.bootstrapConfiguration());
    return true;
  }

  /** Tells a peer with an empty disk that the group has started. */
  void answer(JoinRequest join) {
    if (!join.bootstrapped()) {
      RaftHeader header = state.header(join.header().from(), join.header().fromIncarnation());
      state.messages.add(new JoinRequest(header, true, bootstrap));
    }
  }

  private boolean tryBootstrap() {
    if (!joins.hasHeardAll(controllerIds)) {
      return false;
    }
    adopt(joins.configuration(controllerIds));
    return true;
  }

  private void adopt(GroupConfiguration configuration) {
    bootstrap = configuration;
    state.records.add(new BootstrapRecord(state.group, configuration));
    state.log.reset(0, 0, configuration);
  }
}
