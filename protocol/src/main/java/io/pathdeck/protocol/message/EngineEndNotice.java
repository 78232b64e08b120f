package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.ServedFingerprint;
import java.util.ArrayList;
import java.util.List;

/**
 * A process tells the leading coordinator under which requests engines have ended.
 *
 * @param ends may have been told before
 * @param served requests under which engines ended, and parts of their prompts, that were served to
 *     their end
 */
public record EngineEndNotice(List<EngineEnd> ends, List<ServedFingerprint> served)
    implements Message {
  public EngineEndNotice {
    ends = new ArrayList<>(ends);
    served = new ArrayList<>(served);
  }
}
