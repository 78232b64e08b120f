package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.StreamOrigin;

/** A {@link BatchProgress} whose text does not tell an event with empty data from no event. */
public record BatchProgressV2(
    String jobId,
    String itemId,
    StreamOrigin origin,
    long afterEvent,
    long lastEvent,
    String text) {
  /** Converts to the current form, in which empty values may be missing. */
  public BatchProgress toCurrent() {
    return new BatchProgress(
        jobId, itemId, origin, afterEvent, lastEvent, EventData.ofText(text), true);
  }
}
