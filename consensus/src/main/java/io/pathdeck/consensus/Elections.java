package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.VoteRequest;

/** The votes of a replica: those it gives, and those it collects while it campaigns. */
final class Elections {
  private final ReplicaState state;
  private final ElectionTimer timer;
  private final VoteMessages messages;
  private final HardState ballot;
  private VoteTally votes;

  Elections(ReplicaState state, ElectionTimer timer, int votedFor) {
    this.state = state;
    this.timer = timer;
    this.messages = new VoteMessages(state);
    this.ballot = new HardState(state, votedFor);
  }

  /** Begins a newer term, in which this replica has not voted. */
  void beginTerm(long term) {
    ballot.beginTerm(term, RecoveredState.NO_REPLICA);
  }

  /** Forgets the votes of a campaign that is over. */
  void endCampaign() {
    votes = null;
  }

  /**
   * Asks for votes; an election begins a term in which this replica votes for itself.
   *
   * @return whether its own vote is enough
   */
  boolean startCampaign(CampaignType campaign, long nowMs) {
    if (campaign == CampaignType.PRE_VOTE) {
      timer.onPreVoteRequested(nowMs);
    } else {
      ballot.beginTerm(state.term + 1, state.id);
      timer.reset(nowMs);
    }
    votes = new VoteTally(state.log.configuration());
    votes.add(state.id, state.incarnation);
    if (votes.isWon()) {
      return true;
    }
    messages.requestVotes(campaign);
    return false;
  }

  /** Counts a vote and returns whether the campaign is won. */
  boolean onVoteGranted(RaftHeader header) {
    votes.add(header.from(), header.fromIncarnation());
    return votes.isWon();
  }

  /**
   * Whether a candidate is refused whatever its log holds: its term is over, or a leader may still
   * answer reads under its lease.
   */
  boolean mustRefuse(VoteRequest request, boolean leads, long nowMs) {
    boolean leaseStands = timer.refusesVotes(nowMs) && !request.leadershipTransfer();
    return request.header().term() < state.term || leaseStands || leads;
  }

  void refuse(VoteRequest request) {
    messages.respond(request, false);
  }

  /**
   * Tells a candidate whether it would get a vote.
   *
   * @return whether it would
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

  /** Gives a vote where that is free and the candidate's log is new enough. */
  void answerVote(VoteRequest request, boolean follows, long nowMs) {
    int candidate = request.header().from();
    boolean granted = follows && ballot.canVoteFor(candidate) && messages.isUpToDate(request);
    if (granted) {
      ballot.voteFor(candidate);
      timer.reset(nowMs);
    }
    messages.respond(request, granted);
  }
}
