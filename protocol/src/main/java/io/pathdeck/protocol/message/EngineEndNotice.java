package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/**
 * A process tells the leading coordinator under which requests engines have ended.
 *
 * @param ends may have been told before
 * @param served requests under which engines ended and which were served to their end since
 */
public record EngineEndNotice(List<EngineEnd> ends, List<RequestFingerprint> served)
    implements Message {
  public EngineEndNotice {
    ends = new ArrayList<>(ends);
    served = new ArrayList<>(served);
  }
}
