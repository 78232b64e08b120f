package io.pathdeck.protocol.fleet;

/**
 * The final outcome of an item.
 *
 * @param done whether the item's whole output is in {@code text}; otherwise it was given up
 */
public record BatchResult(String itemId, boolean done, String text) {}
