package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;

/** What becomes of a call that is to be sent. */
sealed interface SendDecision {
  /** Nothing in the call is quarantined. */
  record Send() implements SendDecision {}

  /** The call may be sent if the leading coordinator grants a trial, else it is held back. */
  record RequestTrial(Trial trial, RequestFingerprint cause) implements SendDecision {}

  /** The call must not be sent because of {@code cause}. */
  record HoldBack(RequestFingerprint cause) implements SendDecision {}
}
