package io.pathdeck.consensus;

/** The kind of a campaign. */
enum CampaignType {
  /** Checks whether the replica could win, without starting a term. */
  PRE_VOTE,
  /** An election after the election timeout. */
  ELECTION,
  /** An election that the previous leader requested. */
  LEADERSHIP_TRANSFER
}
