package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestElectionTimer {
  private static final RaftSettings SETTINGS = RaftSettings.DEFAULT;
  private static final long START_MS = 1_000;
  private static final long MIN_MS = SETTINGS.electionTimeoutMinMs();
  private static final long MAX_MS = SETTINGS.electionTimeoutMaxMs();

  @Test
  void newProcessRefusesVotesForMinimumTimeout() {
    ElectionTimer timer = new ElectionTimer(SETTINGS, 1, START_MS, START_MS);
    assertThat(timer.refusesVotes(START_MS + MIN_MS - 1)).isTrue();
    assertThat(timer.isExpired(START_MS + MIN_MS - 1)).isFalse();
    assertThat(timer.refusesVotes(START_MS + MIN_MS)).isFalse();
    assertThat(timer.isExpired(START_MS + MAX_MS)).isTrue();
  }

  @Test
  void startupTimeCountsTowardTimeout() {
    long nowMs = START_MS + 2 * MAX_MS;
    ElectionTimer timer = new ElectionTimer(SETTINGS, 1, START_MS, nowMs);
    assertThat(timer.refusesVotes(nowMs)).isFalse();
    assertThat(timer.isExpired(nowMs + MAX_MS - MIN_MS)).isTrue();
  }

  @Test
  void timeoutsDifferBetweenSeeds() {
    long nowMs = START_MS + 2 * MAX_MS;
    Set<Long> firstCampaigns = new HashSet<>();
    for (int seed = 0; seed < 10; seed++) {
      ElectionTimer timer = new ElectionTimer(SETTINGS, seed, START_MS, nowMs);
      long campaignMs = nowMs;
      while (!timer.isExpired(campaignMs)) {
        campaignMs++;
      }
      firstCampaigns.add(campaignMs);
    }
    assertThat(firstCampaigns).hasSizeGreaterThan(7);
  }

  @Test
  void leaderContactResetsTimeout() {
    ElectionTimer timer = new ElectionTimer(SETTINGS, 1, START_MS, START_MS + MAX_MS);
    timer.onLeaderHeard(START_MS + MAX_MS);
    assertThat(timer.refusesVotes(START_MS + MAX_MS + MIN_MS - 1)).isTrue();
    assertThat(timer.isExpired(START_MS + MAX_MS + MIN_MS - 1)).isFalse();
  }

  @Test
  void preVoteIsRetriedSoonDuringStartup() {
    ElectionTimer timer = new ElectionTimer(SETTINGS, 1, START_MS, START_MS + MAX_MS);
    long requestedAtMs = START_MS + 2 * MAX_MS;
    timer.onPreVoteRequested(requestedAtMs);
    assertThat(timer.isExpired(requestedAtMs + 149)).isFalse();
    assertThat(timer.isExpired(requestedAtMs + 450)).isTrue();
  }

  @Test
  void preVoteRetryWaitsFullTimeoutAfterStartup() {
    ElectionTimer afterLeaderContact = new ElectionTimer(SETTINGS, 1, START_MS, START_MS);
    afterLeaderContact.onLeaderHeard(START_MS);
    afterLeaderContact.onPreVoteRequested(START_MS + MAX_MS);
    assertThat(afterLeaderContact.isExpired(START_MS + MAX_MS + MIN_MS - 1)).isFalse();
    ElectionTimer afterStartup = new ElectionTimer(SETTINGS, 1, START_MS, START_MS);
    long laterMs = START_MS + 3 * MAX_MS;
    afterStartup.onPreVoteRequested(laterMs);
    assertThat(afterStartup.isExpired(laterMs + MIN_MS - 1)).isFalse();
  }

  @Test
  void deferralDelaysCampaignBriefly() {
    ElectionTimer timer = new ElectionTimer(SETTINGS, 1, START_MS, START_MS);
    long lateMs = START_MS + MAX_MS;
    timer.deferCampaign(lateMs);
    assertThat(timer.isExpired(lateMs + 149)).isFalse();
    assertThat(timer.isExpired(lateMs + 150)).isTrue();
    timer.reset(lateMs);
    timer.deferCampaign(lateMs);
    assertThat(timer.isExpired(lateMs + MIN_MS - 1)).isFalse();
  }
}
