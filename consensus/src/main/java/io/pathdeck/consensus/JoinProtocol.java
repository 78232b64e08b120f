package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * How a replica with an empty disk comes into the group.
 *
 * <p>A new group starts once every founder was heard to have an empty disk; all derive the same
 * first configuration from what they heard. A replica that finds a group already started takes over
 * that group's first configuration. If the configuration does not name its incarnation, its disk
 * was lost or it is new: it follows without a vote until the leader admits it.
 */
final class JoinProtocol {
  private static final long JOIN_INTERVAL_MS = 200;

  private final ReplicaState state;
  private final JoinSettings settings;
  private final Set<Integer> contacts;
  private final JoinTracker joins = new JoinTracker();
  private GroupConfiguration bootstrap;
  private long nextJoinMs;

  JoinProtocol(ReplicaState state, JoinSettings settings, Optional<GroupConfiguration> bootstrap) {
    this.state = state;
    this.settings = settings;
    this.contacts = new HashSet<>(settings.contacts());
    this.bootstrap = bootstrap.orElse(null);
  }

  /** Whether the replica may take part in the group. */
  boolean isEligible(int id) {
    return settings.policy().open() || settings.founders().contains(id);
  }

  /** Adds replicas that may know the group. */
  void addContacts(Set<Integer> ids) {
    contacts.addAll(ids);
  }

  /** Announces the empty disk; returns whether the first configuration is now known. */
  boolean poll(long nowMs) {
    if (nowMs < nextJoinMs) {
      return false;
    }
    joins.add(state.id, state.incarnation, settings.address());
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
    for (int peer : knownReplicas()) {
      if (peer != state.id) {
        state.messages.add(
            new JoinRequest(state.header(peer, 0), bootstrapped, bootstrap, settings.address()));
      }
    }
  }

  private Set<Integer> knownReplicas() {
    Set<Integer> known = new HashSet<>(contacts);
    known.addAll(settings.founders());
    if (state.log.hasConfiguration()) {
      state.log.configuration().members().stream().map(Member::id).forEach(known::add);
    }
    return known;
  }

  /** Handles a peer's request here; returns whether the first configuration is now known. */
  boolean onJoinRequestWhileJoining(JoinRequest join) {
    if (!join.bootstrapped()) {
      joins.add(join.header().from(), join.header().fromIncarnation(), join.address());
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
      state.messages.add(new JoinRequest(header, true, bootstrap, settings.address()));
    }
  }

  private boolean tryBootstrap() {
    boolean founder = settings.founders().contains(state.id);
    if (!founder || !joins.containsAll(settings.founders())) {
      return false;
    }
    adopt(joins.configuration(settings.founders()));
    return true;
  }

  /** Takes over the first configuration of a group. */
  void adopt(GroupConfiguration configuration) {
    bootstrap = configuration;
    state.records.add(new BootstrapRecord(state.group, configuration));
    state.log.reset(0, 0, configuration);
  }
}
