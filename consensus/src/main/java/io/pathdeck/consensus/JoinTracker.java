package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the replicas that reported an empty disk. */
final class JoinTracker {
  private final Map<Integer, Member> add = new HashMap<>();

  void add(int id, long incarnation, String address) {
    add.put(id, new Member(id, incarnation, true, address));
  }

  boolean containsAll(Set<Integer> ids) {
    return add.keySet().containsAll(ids);
  }

  /** The configuration in which all {@code ids} vote. */
  GroupConfiguration configuration(Set<Integer> ids) {
    List<Member> members = ids.stream().sorted().map(add::get).toList();
    return new GroupConfiguration(members);
  }
}
