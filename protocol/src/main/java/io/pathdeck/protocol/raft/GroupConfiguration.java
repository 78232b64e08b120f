package io.pathdeck.protocol.raft;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** The members of a replicated group. */
public record GroupConfiguration(List<Member> members) {
  public GroupConfiguration {
    members = new ArrayList<>(members);
  }

  /** The member with this controller id. */
  public Optional<Member> find(int id) {
    return members.stream().filter(member -> member.id() == id).findFirst();
  }

  /** Whether this incarnation of the controller votes in the group. */
  public boolean isVoter(int id, long incarnation) {
    return members.stream()
        .anyMatch(m -> m.voter() && m.id() == id && m.incarnation() == incarnation);
  }

  /** The number of voters that must agree. */
  public int quorum() {
    return voterCount() / 2 + 1;
  }

  /** This configuration with {@code member} in place of the one with the same id. */
  public GroupConfiguration with(Member member) {
    List<Member> changed = new ArrayList<>(members);
    changed.removeIf(existing -> existing.id() == member.id());
    changed.add(member);
    changed.sort(Comparator.comparingInt(Member::id));
    return new GroupConfiguration(changed);
  }

  /** This configuration without the member with this id. */
  public GroupConfiguration without(int id) {
    List<Member> changed = new ArrayList<>(members);
    changed.removeIf(member -> member.id() == id);
    return new GroupConfiguration(changed);
  }

  /** The number of voters. */
  public int voterCount() {
    return (int) members.stream().filter(Member::voter).count();
  }
}
