package io.pathdeck.protocol.fleet;

/**
 * The final outcome of an item as it is proposed.
 *
 * @param done whether the item is whole; otherwise it is given up
 * @param afterEvent for a whole item the last event that is recorded already; -1 when none is
 * @param data for a whole item the {@link EventData} of the events after it
 */
public record BatchOutcome(String itemId, boolean done, long afterEvent, String data) {
  /** The outcome of an item that is given up. */
  public static BatchOutcome givenUp(String itemId) {
    return new BatchOutcome(itemId, false, BatchProgress.NO_EVENT, EventData.NONE);
  }
}
