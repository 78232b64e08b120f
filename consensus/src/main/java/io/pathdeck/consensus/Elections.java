package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.VoteRequest;

/** Grants votes to other replicas, and collects votes while this replica campaigns. */
final class Elections {
  private final ReplicaState state;
  private final ElectionTimer timer;
  private final VoteMessages messages;
  private final HardState hardState;
  private VoteTally tally;

  Elections(ReplicaState state, ElectionTimer timer, int votedFor) {
    this.state = state;
    this.timer = timer;
    this.messages = new VoteMessages(state);
    this.hardState = new HardState(state, votedFor);
  }

  /** Starts a newer term, in which this replica has not voted. */
  void beginTerm(long term) {
    hardState.beginTerm(term, RecoveredState.NO_REPLICA);
  }

  /** Discards the votes of a finished campaign. */
  void endCampaign() {
    tally = null;
  }

  /**
   * Requests votes. A campaign other than a pre-vote starts a term in which the replica votes for
   * itself.
   *
   * @return whether its own vote is a quorum
   */
  boolean startCampaign(CampaignType campaign, long nowMs) {
    if (campaign == CampaignType.PRE_VOTE) {
      timer.onPreVoteRequested(nowMs);
    } else {
      hardState.beginTerm(state.term + 1, state.id);
      timer.reset(nowMs);
    }
    tally = new VoteTally(state.log.configuration());
    tally.add(state.id, state.incarnation);
    if (tally.isWon()) {
      return true;
    }
    messages.requestVotes(campaign);
    return false;
  }

  /** Counts a vote and returns whether the campaign is won. */
  boolean onVoteGranted(RaftHeader header) {
    tally.add(header.from(), header.fromIncarnation());
    return tally.isWon();
  }

  /**
   * Whether a candidate is refused regardless of its log: its term is outdated, this replica leads,
   * or a leader may still serve reads under its lease.
   */
  boolean mustRefuse(VoteRequest request, boolean isLeader, long nowMs) {
    boolean leaseMayHold = timer.refusesVotes(nowMs) && !request.leadershipTransfer();
    return request.header().term() < state.term || leaseMayHold || isLeader;
  }

  void refuse(VoteRequest request) {
    messages.respond(request, false);
  }

  /**
   * Responds to a pre-vote request.
   *
   * @return whether the pre-vote was granted
   */
  boolean answerPreVote(VoteRequest request, long nowMs) {
    boolean newerTerm = request.header().term() > state.term;
    boolean granted = newerTerm && messages.isUpToDate(request);
    if (granted) {
      timer.deferCampaign(nowMs);
    }
    messages.respond(request, granted);
    return granted;
  }

  /**
   * Responds to a vote request. Grants the vote if this replica is a follower that may vote for the
   * candidate, and the candidate's log is at least as up to date as its own.
   */
  void answerVote(VoteRequest request, boolean isFollower, long nowMs) {
    int candidate = request.header().from();
    boolean granted = isFollower && hardState.canVoteFor(candidate) && messages.isUpToDate(request);
    if (granted) {
      hardState.voteFor(candidate);
      timer.reset(nowMs);
    }
    messages.respond(request, granted);
  }
}
