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
 * @param mayFound whether this replica may take part in forming a new group; one whose earlier
 *     state was given up may not, since its group exists
 */
public record JoinSettings(
    Set<Integer> founders,
    Set<Integer> contacts,
    String address,
    MembershipPolicy policy,
    boolean mayFound) {
  public JoinSettings {
    founders = Set.copyOf(founders);
    contacts = Set.copyOf(contacts);
  }

  /** Settings of a replica that forms a new group if it is one of the founders. */
  public JoinSettings(
      Set<Integer> founders, Set<Integer> contacts, String address, MembershipPolicy policy) {
    this(founders, contacts, address, policy, true);
  }

  /** These settings for a replica that only joins its group. */
  public JoinSettings joiningOnly() {
    return new JoinSettings(founders, contacts, address, policy, false);
  }

  /** Settings of a group whose members are configured. */
  public static JoinSettings fixed(Set<Integer> ids) {
    return new JoinSettings(ids, ids, "", MembershipPolicy.FIXED);
  }
}
