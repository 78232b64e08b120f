package io.pathdeck.protocol.raft;

/**
 * A replica in a group: a process under one incarnation of its data folder.
 *
 * @param address where the other members reach it; empty where addresses are settings
 */
public record Member(int id, long incarnation, boolean voter, String address) {
  /** A member of a group whose addresses are settings. */
  public Member(int id, long incarnation, boolean voter) {
    this(id, incarnation, voter, "");
  }
}
