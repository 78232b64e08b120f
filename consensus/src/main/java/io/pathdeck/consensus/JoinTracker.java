package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the replicas that announced an empty disk. */
final class JoinTracker {
  /**
   * How long an announcement counts; several times the interval between announcements. The sender
   * may have joined a group since.
   */
  static final long VALID_MS = 1_000;

  private record Announcement(Member member, long receivedMs) {}

  private final Map<Integer, Announcement> announcements = new HashMap<>();

  void add(int id, long incarnation, String address, long nowMs) {
    Member member = new Member(id, incarnation, true, address);
    announcements.put(id, new Announcement(member, nowMs));
  }

  boolean containsAll(Set<Integer> ids, long nowMs) {
    announcements.values().removeIf(announced -> nowMs - announced.receivedMs() >= VALID_MS);
    return announcements.keySet().containsAll(ids);
  }

  /** The configuration with all {@code ids} as voters. */
  GroupConfiguration configuration(Set<Integer> ids) {
    List<Member> voters = ids.stream().sorted().map(id -> announcements.get(id).member()).toList();
    return new GroupConfiguration(voters);
  }
}
