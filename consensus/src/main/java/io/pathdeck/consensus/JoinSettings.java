package io.pathdeck.consensus;

import java.util.Set;

/**
 * How a replica finds its group.
 *
 * @param founders the ids that start a new group together; empty when this replica only joins
 * @param contacts the ids that are asked for admission at first
 * @param address where the other members reach this replica; empty where addresses are settings
 */
public record JoinSettings(
    Set<Integer> founders, Set<Integer> contacts, String address, MembershipPolicy policy) {
  public JoinSettings {
    founders = Set.copyOf(founders);
    contacts = Set.copyOf(contacts);
  }

  /** A group whose members are listed in the settings. */
  public static JoinSettings fixed(Set<Integer> ids) {
    return new JoinSettings(ids, ids, "", MembershipPolicy.FIXED);
  }
}
