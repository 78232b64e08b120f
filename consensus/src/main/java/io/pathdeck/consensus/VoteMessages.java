package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.VoteRequest;
import io.pathdeck.protocol.raft.VoteResponse;

/** Creates the messages of elections; votes are sent only after they are durable. */
final class VoteMessages {
  private final ReplicaState state;

  VoteMessages(ReplicaState state) {
    this.state = state;
  }

  /** Requests votes or pre-votes from all other voters. */
  void requestVotes(CampaignType campaign) {
    boolean preVote = campaign == CampaignType.PRE_VOTE;
    boolean transfer = campaign == CampaignType.LEADERSHIP_TRANSFER;
    long campaignTerm = preVote ? state.term + 1 : state.term;
    for (Member member : state.log.configuration().members()) {
      if (!member.voter() || member.id() == state.id) {
        continue;
      }
      RaftHeader header =
          new RaftHeader(
              state.group,
              state.id,
              state.incarnation,
              member.id(),
              member.incarnation(),
              campaignTerm);
      VoteRequest request =
          new VoteRequest(header, preVote, transfer, state.log.lastIndex(), state.log.lastTerm());
      (preVote ? state.messages : state.messagesAfterSync).add(request);
    }
  }

  /** Responds to a candidate; a granted pre-vote carries the term of the request. */
  void respond(VoteRequest request, boolean granted) {
    RaftHeader requestHeader = request.header();
    long responseTerm = request.preVote() && granted ? requestHeader.term() : state.term;
    RaftHeader header =
        new RaftHeader(
            state.group,
            state.id,
            state.incarnation,
            requestHeader.from(),
            requestHeader.fromIncarnation(),
            responseTerm);
    state.messagesAfterSync.add(new VoteResponse(header, request.preVote(), granted));
  }

  /** Whether the candidate's log is at least as up to date as this replica's. */
  boolean isUpToDate(VoteRequest request) {
    boolean sameTerm = request.lastTerm() == state.log.lastTerm();
    return request.lastTerm() > state.log.lastTerm()
        || (sameTerm && request.lastIndex() >= state.log.lastIndex());
  }
}
