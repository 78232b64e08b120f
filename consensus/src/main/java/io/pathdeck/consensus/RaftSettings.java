package io.pathdeck.consensus;

/**
 * Timing and batching of a replica.
 *
 * @param electionTimeoutMinMs the minimum election timeout; also how long a replica that heard from
 *     a leader, or has just started, refuses to vote
 * @param electionTimeoutMaxMs the maximum election timeout
 * @param heartbeatMs the interval of heartbeats
 * @param leaseMs how long a leader may answer reads after it sent a message that a quorum
 *     acknowledged; shorter than {@code electionTimeoutMinMs} by more than the clock drift in that
 *     time
 * @param retransmitMs the initial time to wait for an acknowledgement before sending again
 * @param maxAppendBytes the maximum bytes of entries in one message
 * @param maxInFlightAppends the maximum number of unacknowledged messages with entries per follower
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
   * The settings shared by production and simulation. Enough messages may be in flight to use the
   * full rate of a link between zones, yet few enough that a heartbeat queued behind them arrives
   * in time on a slower link. Four messages of 128 KB exceed what a link of 1 Gbit/s carries in a
   * round trip of 3 ms; to five members they take about 170 ms on a link of 120 Mbit/s.
   */
  public static final RaftSettings DEFAULT =
      new RaftSettings(600, 1_200, 100, 450, 400, 128 << 10, 4);
}
