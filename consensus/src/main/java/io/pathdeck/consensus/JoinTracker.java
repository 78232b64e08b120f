package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the incarnations of controllers that reported an empty disk. */
final class JoinTracker {
  private final Map<Integer, Long> incarnations = new HashMap<>();

  void heard(int id, long incarnation) {
    incarnations.put(id, incarnation);
  }

  boolean hasHeardAll(Set<Integer> ids) {
    return incarnations.keySet().containsAll(ids);
  }

  /** The configuration in which all {@code ids} vote. */
  GroupConfiguration configuration(Set<Integer> ids) {
    List<Member> members =
        ids.stream().sorted().map(id -> new Member(id, incarnations.get(id), true)).toList();
    return new GroupConfiguration(members);
  }
}
