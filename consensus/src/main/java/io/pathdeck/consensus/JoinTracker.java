package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the replicas that announced an empty disk. */
final class JoinTracker {
  private final Map<Integer, Member> members = new HashMap<>();

  void add(int id, long incarnation, String address) {
    members.put(id, new Member(id, incarnation, true, address));
  }

  boolean containsAll(Set<Integer> ids) {
    return members.keySet().containsAll(ids);
  }

  /** The configuration with all {@code ids} as voters. */
  GroupConfiguration configuration(Set<Integer> ids) {
    List<Member> voters = ids.stream().sorted().map(members::get).toList();
    return new GroupConfiguration(voters);
  }
}
