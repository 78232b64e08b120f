package io.pathdeck.consensus;

/**
 * Timing and batching of a replica.
 *
 * @param electionTimeoutMinMs the shortest time without a leader before a replica campaigns; also
 *     how long a replica that heard from a leader, or has just started, refuses to vote
 * @param electionTimeoutMaxMs the longest such time
 * @param heartbeatMs the interval of heartbeats
 * @param leaseMs how long a leader may answer reads after a quorum acknowledged a heartbeat; less
 *     than {@code electionTimeoutMinMs} by more than clocks drift in that time
 * @param retransmitMs how long the leader waits for an acknowledgement before sending again
 * @param maxAppendBytes the most bytes of entries in one message
 * @param maxInFlightAppends the most unacknowledged messages with entries per follower
 */
public record RaftSettings(
    long electionTimeoutMinMs,
    long electionTimeoutMaxMs,
    long heartbeatMs,
    long leaseMs,
    long retransmitMs,
    int maxAppendBytes,
    int maxInFlightAppends) {
  /**
   * The settings that production and simulation share. Four messages of 128 KB are more than a link
   * of 1 Gbit/s carries in the 3 ms between zones and back. To five members at once they take about
   * 170 ms on a link of 120 Mbit/s, so that a heartbeat behind them is in time.
   */
  public static final RaftSettings DEFAULT =
      new RaftSettings(600, 1_200, 100, 450, 400, 128 << 10, 4);
}
