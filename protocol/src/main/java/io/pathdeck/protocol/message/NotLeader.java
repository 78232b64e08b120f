package io.pathdeck.protocol.message;

/**
 * This process does not lead the group.
 *
 * @param leaderId who leads it as far as this process knows; not positive when unknown
 * @param leaderAddress where the leader is reached; empty when unknown or a setting
 */
public record NotLeader(int leaderId, String leaderAddress) implements Message {
  /** Without an address. */
  public NotLeader(int leaderId) {
    this(leaderId, "");
  }
}
