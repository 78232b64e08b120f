package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/** What was tried while in quarantine, once for each trial. */
public record QuarantineTrialsRecord(List<RequestFingerprint> trials) {
  public QuarantineTrialsRecord {
    trials = new ArrayList<>(trials);
  }
}
