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
 * Forms a group or joins a running one, for a replica with an empty disk.
 *
 * <p>A new group starts once every founder has announced an empty disk within the same second; all
 * founders derive the same first configuration from these announcements. A replica that finds a
 * running group adopts that group's first configuration. If the configuration does not contain its
 * incarnation, the replica is new or has lost its disk: it follows without a vote until the leader
 * admits it.
 */
final class JoinProtocol {
  private static final long JOIN_INTERVAL_MS = 200;

  private final ReplicaState state;
  private final JoinSettings settings;
  private final Set<Integer> contacts;
  private final JoinTracker emptyReplicas = new JoinTracker();
  private Set<Integer> founders;
  private GroupConfiguration bootstrap;
  private long nextJoinMs;

  JoinProtocol(ReplicaState state, JoinSettings settings, Optional<GroupConfiguration> bootstrap) {
    this.state = state;
    this.settings = settings;
    this.contacts = new HashSet<>(settings.contacts());
    this.founders = settings.founders();
    this.bootstrap = bootstrap.orElse(null);
  }

  /** Whether a replica may become a member of the group. */
  boolean isEligible(int id) {
    return settings.policy().open() || founders.contains(id);
  }

  /** Adds replicas to ask for admission. */
  void addContacts(Set<Integer> ids) {
    contacts.addAll(ids);
  }

  /**
   * Lets this replica form a group with {@code ids} if it is one of them and may form a group, but
   * does not know its founders; returns whether it knows them now.
   */
  boolean learnFounders(Set<Integer> ids) {
    if (!settings.mayFound() || !founders.isEmpty() || !ids.contains(state.id)) {
      return false;
    }
    founders = Set.copyOf(ids);
    return true;
  }

  /**
   * Announces the empty disk when an announcement is due; returns whether the first configuration
   * is now known. A replica that may not form a group does not announce itself as an empty one, so
   * that none is formed with it.
   */
  boolean poll(long nowMs) {
    if (nowMs < nextJoinMs) {
      return false;
    }
    if (!settings.mayFound()) {
      askToJoin(nowMs);
      return false;
    }
    emptyReplicas.add(state.id, state.incarnation, settings.address(), nowMs);
    sendJoinRequests(false, nowMs);
    return tryBootstrap(nowMs);
  }

  /**
   * Asks for admission when a request is due; for a follower that is not a member or may have been
   * removed.
   */
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
    known.addAll(founders);
    if (state.log.hasConfiguration()) {
      state.log.configuration().members().stream().map(Member::id).forEach(known::add);
    }
    return known;
  }

  /**
   * Handles a peer's request while this replica is joining; returns whether the first configuration
   * is now known.
   */
  boolean onJoinRequestWhileJoining(JoinRequest join, long nowMs) {
    if (!join.bootstrapped()) {
      emptyReplicas.add(
          join.header().from(), join.header().fromIncarnation(), join.address(), nowMs);
      return tryBootstrap(nowMs);
    }
    if (join.bootstrapConfiguration() == null) {
      return false;
    }
    adopt(join.bootstrapConfiguration());
    return true;
  }

  /** Sends the first configuration to a peer that lacks it. */
  void answer(JoinRequest join) {
    boolean lacksConfiguration = join.bootstrapConfiguration() == null && bootstrap != null;
    if (!join.bootstrapped() || lacksConfiguration) {
      RaftHeader header = state.header(join.header().from(), join.header().fromIncarnation());
      state.messages.add(new JoinRequest(header, true, bootstrap, settings.address()));
    }
  }

  private boolean tryBootstrap(long nowMs) {
    boolean isFounder = settings.mayFound() && founders.contains(state.id);
    if (!isFounder || !emptyReplicas.containsAll(founders, nowMs)) {
      return false;
    }
    adopt(emptyReplicas.configuration(founders));
    return true;
  }

  /** Records the first configuration of a group and resets the log to start from it. */
  void adopt(GroupConfiguration configuration) {
    bootstrap = configuration;
    state.records.add(new BootstrapRecord(state.group, configuration));
    state.log.reset(0, 0, configuration);
  }
}
