package io.pathdeck.protocol.fleet;

/**
 * Events that a run of an item brought.
 *
 * @param origin the engines that can write what follows
 * @param afterEvent the event that they follow; -1 when they are the first
 * @param lastEvent the last of them
 * @param text their data, one line for each event
 */
public record BatchProgress(
    String jobId,
    String itemId,
    StreamOrigin origin,
    long afterEvent,
    long lastEvent,
    String text) {
  /** The number before that of the first event. */
  public static final long NO_EVENT = -1;
}
