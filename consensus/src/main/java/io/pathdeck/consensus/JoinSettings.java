package io.pathdeck.consensus;

import java.util.Set;

/**
 * How a replica forms or joins its group.
 *
 * @param founders the ids of the replicas that form a new group together; empty when this replica
 *     only joins a group
 * @param contacts the ids of the replicas that this one asks first for admission
 * @param address the address at which other members reach this replica; empty when all addresses
 *     are configured
 */
public record JoinSettings(
    Set<Integer> founders, Set<Integer> contacts, String address, MembershipPolicy policy) {
  public JoinSettings {
    founders = Set.copyOf(founders);
    contacts = Set.copyOf(contacts);
  }

  /** Settings of a group whose members are configured. */
  public static JoinSettings fixed(Set<Integer> ids) {
    return new JoinSettings(ids, ids, "", MembershipPolicy.FIXED);
  }
}
