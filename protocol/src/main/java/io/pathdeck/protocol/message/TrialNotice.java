package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.TrialState;
import java.util.ArrayList;
import java.util.List;

/**
 * A process tells the leading coordinator about one trial; the answer is a {@link TrialReply}.
 *
 * @param trial tells trials of the same suspects apart; a request that is repeated has the same
 * @param suspects all that is quarantined in the call
 * @param engine the life of the engine; empty if the call was not sent
 * @param agoMs how long ago the state was reached
 */
public record TrialNotice(
    long trial, List<RequestFingerprint> suspects, TrialState state, String engine, long agoMs)
    implements Message {
  public TrialNotice {
    suspects = new ArrayList<>(suspects);
  }
}
