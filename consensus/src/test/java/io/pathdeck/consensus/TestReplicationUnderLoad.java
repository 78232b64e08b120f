package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replication over rate-limited links: a temporary overload must not turn into a lasting one. */
class TestReplicationUnderLoad {
  private static final int MEMBERS = 12;
  private static final int FOLLOWERS = MEMBERS - 1;
  private static final int COMMAND_BYTES = 80_000;
  private static final double LINK_BYTES_PER_MS = 15_000;
  private static final long ELECTION_MS = 3_000;

  /** About half of what the leader's link can carry to all followers. */
  private static final long STEADY_INTERVAL_MS = 120;

  /** About one and a half times what the leader's link can carry to all followers. */
  private static final long BURST_INTERVAL_MS = 40;

  private static final long BURST_MS = 3_000;

  /** More than twice the time to drain the burst without retransmissions. */
  private static final long RECOVERY_MS = 8_000;

  private static final long OBSERVATION_MS = 10_000;

  /** How long an entry may take to be committed once the group has recovered. */
  private static final long COMMIT_MS = 200;

  /** How much the transport buffers for one peer before it drops messages. */
  private static final long BUFFER_BYTES = 1 << 20;

  private static final long UNLIMITED_BUFFER_BYTES = Long.MAX_VALUE;

  /** How often each byte may be sent over the whole run, including the burst. */
  private static final double MAX_SENDS_PER_BYTE = 2;

  /** How often each byte may be sent once the group has recovered. */
  private static final double MAX_STEADY_SENDS_PER_BYTE = 1.2;

  /** The first election and one change of leadership. */
  private static final int MAX_ELECTIONS = 2;

  private static final double SLOW_BYTES_PER_MS = LINK_BYTES_PER_MS / 30;
  private static final long SLOW_FOLLOWER_INTERVAL_MS = 80;
  private static final long SLOW_FOLLOWER_LOAD_MS = 10_000;
  private static final long SLOW_FOLLOWER_DRAIN_MS = 20_000;

  private static RateLimitedGroup groupWithLeader(RateLimitedNetwork network, long seed) {
    RateLimitedGroup group = new RateLimitedGroup(MEMBERS, network, RaftSettings.DEFAULT, seed);
    group.runFor(ELECTION_MS);
    return group;
  }

  private static void burst(RateLimitedGroup group) {
    group.runUnderLoad(ELECTION_MS, COMMAND_BYTES, STEADY_INTERVAL_MS);
    group.runUnderLoad(BURST_MS, COMMAND_BYTES, BURST_INTERVAL_MS);
    group.runUnderLoad(RECOVERY_MS, COMMAND_BYTES, STEADY_INTERVAL_MS);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void retransmissionsStopAfterBurst(long seed) {
    RateLimitedNetwork network = new RateLimitedNetwork(LINK_BYTES_PER_MS, BUFFER_BYTES);
    RateLimitedGroup group = groupWithLeader(network, seed);
    burst(group);
    long sentBefore = network.sentBytes();
    long proposedBefore = group.proposedBytes();
    group.runUnderLoad(OBSERVATION_MS, COMMAND_BYTES, STEADY_INTERVAL_MS);
    double needed = (double) (group.proposedBytes() - proposedBefore) * FOLLOWERS;
    assertThat((network.sentBytes() - sentBefore) / needed)
        .as("bytes sent per byte needed, %d ms and more after the burst", RECOVERY_MS)
        .isLessThan(MAX_STEADY_SENDS_PER_BYTE);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void commitsPromptlyAfterBurst(long seed) {
    RateLimitedGroup group =
        groupWithLeader(new RateLimitedNetwork(LINK_BYTES_PER_MS, BUFFER_BYTES), seed);
    burst(group);
    assertThat(group.leader()).isPresent();
    long lastIndex = group.leader().orElseThrow().lastIndex();
    group.runFor(COMMIT_MS);
    assertThat(group.commitIndex())
        .as("committed %d ms after entry %d was appended", COMMIT_MS, lastIndex)
        .isGreaterThanOrEqualTo(lastIndex);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstCausesAtMostOneLeaderChange(long seed) {
    RateLimitedNetwork network = new RateLimitedNetwork(LINK_BYTES_PER_MS, BUFFER_BYTES);
    RateLimitedGroup group = groupWithLeader(network, seed);
    burst(group);
    group.runUnderLoad(OBSERVATION_MS, COMMAND_BYTES, STEADY_INTERVAL_MS);
    double needed = (double) group.proposedBytes() * FOLLOWERS;
    assertThat(group.electionCount()).as("elections").isLessThanOrEqualTo(MAX_ELECTIONS);
    assertThat(network.sentBytes() / needed)
        .as("bytes sent per byte needed over the whole run")
        .isLessThan(MAX_SENDS_PER_BYTE);
  }

  @ParameterizedTest
  @ValueSource(longs = {BUFFER_BYTES, UNLIMITED_BUFFER_BYTES})
  void slowFollowerGetsFewRetransmissions(long bufferBytes) {
    RateLimitedNetwork network = new RateLimitedNetwork(LINK_BYTES_PER_MS, bufferBytes);
    RateLimitedGroup group = groupWithLeader(network, 1);
    int slow = group.leader().orElseThrow() == group.replica(MEMBERS) ? 1 : MEMBERS;
    network.limitIncoming(slow, SLOW_BYTES_PER_MS);
    long sentBefore = network.sentBytesTo(slow);
    group.runUnderLoad(SLOW_FOLLOWER_LOAD_MS, COMMAND_BYTES, SLOW_FOLLOWER_INTERVAL_MS);
    group.runFor(SLOW_FOLLOWER_DRAIN_MS);
    double needed = (double) group.proposedBytes();
    assertThat((network.sentBytesTo(slow) - sentBefore) / needed)
        .as("bytes sent to the slow follower per byte it needs")
        .isLessThan(MAX_SENDS_PER_BYTE);
    assertThat(group.replica(slow).commitIndex())
        .as("committed at the slow follower")
        .isEqualTo(group.commitIndex());
    assertThat(group.electionCount()).as("elections").isEqualTo(1);
  }
}
