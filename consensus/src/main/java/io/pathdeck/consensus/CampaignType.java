package io.pathdeck.consensus;

/** Why a replica asks for votes. */
enum CampaignType {
  /** To learn whether it could win, without a new term. */
  PRE_VOTE,
  /** To lead, after no leader was heard. */
  ELECTION,
  /** To lead, because the leader has handed over to it. */
  LEADERSHIP_TRANSFER
}
