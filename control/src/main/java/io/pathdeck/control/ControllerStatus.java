package io.pathdeck.control;

import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.consensus.ReplicationStatistics;
import io.pathdeck.protocol.raft.Member;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** A snapshot of the groups for operators and probes. */
public record ControllerStatus(List<GroupView> groups) {

  /**
   * One group as this controller sees it.
   *
   * @param neededVoters the voters that the tolerated losses need; 0 if the members are configured
   */
  public record GroupView(
      int group,
      ReplicaRole role,
      long term,
      int leaderId,
      long commitIndex,
      long appliedIndex,
      List<MemberView> members,
      int neededVoters,
      ReplicationStatistics replication) {}

  /** One member and how much of the log it has synced, as far as the leader knows. */
  public record MemberView(Member member, long matchIndex) {}

  static ControllerStatus of(Collection<GroupRuntime> groups) {
    List<GroupView> views = new ArrayList<>();
    for (GroupRuntime group : groups) {
      List<MemberView> members = new ArrayList<>();
      group
          .replica()
          .configuration()
          .ifPresent(
              configuration ->
                  configuration
                      .members()
                      .forEach(
                          member ->
                              members.add(
                                  new MemberView(
                                      member, group.replica().matchIndex(member.id())))));
      views.add(
          new GroupView(
              group.group(),
              group.replica().role(),
              group.replica().term(),
              group.replica().leaderId(),
              group.replica().commitIndex(),
              group.appliedIndex(),
              members,
              group.neededVoters(),
              group.replica().statistics()));
    }
    return new ControllerStatus(views);
  }

  /** Whether every group has a leader that this controller knows. */
  public boolean isReady() {
    return !groups.isEmpty() && groups.stream().allMatch(group -> group.leaderId() > 0);
  }
}
