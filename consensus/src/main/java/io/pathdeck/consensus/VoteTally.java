package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import java.util.HashSet;
import java.util.Set;

/**
 * Counts the votes of one campaign; votes of incarnations outside the configuration are ignored.
 */
final class VoteTally {
  private final GroupConfiguration configuration;
  private final Set<Integer> grantedBy = new HashSet<>();

  VoteTally(GroupConfiguration configuration) {
    this.configuration = configuration;
  }

  void add(int id, long incarnation) {
    if (configuration.isVoter(id, incarnation)) {
      grantedBy.add(id);
    }
  }

  boolean isWon() {
    return grantedBy.size() >= configuration.quorum();
  }
}
