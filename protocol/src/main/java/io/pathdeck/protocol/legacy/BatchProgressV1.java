package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.StreamOrigin;

/** A {@link BatchProgress} that does not tell which software version sent the events. */
public record BatchProgressV1(
    String jobId, String itemId, long afterEvent, long lastEvent, String text) {
  /** Converts to the current form, of unknown origin. */
  public BatchProgress toCurrent() {
    return new BatchProgressV2(jobId, itemId, StreamOrigin.UNKNOWN, afterEvent, lastEvent, text)
        .toCurrent();
  }
}
