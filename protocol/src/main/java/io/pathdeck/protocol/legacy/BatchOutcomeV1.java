package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.EventData;

/** A {@link BatchOutcome} whose text does not tell an event with empty data from no event. */
public record BatchOutcomeV1(String itemId, boolean done, long afterEvent, String text) {
  /** Converts to the current form; the result of the item stays as it was listed. */
  public BatchOutcome toCurrent() {
    return new BatchOutcome(itemId, done, afterEvent, EventData.ofText(text));
  }
}
