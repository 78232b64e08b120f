package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Changes of the list of engines up to a sequence.
 *
 * @param epoch the leadership that counts the sequence
 * @param full whether {@code changed} is the whole list
 */
public record EngineListDelta(
    long epoch, boolean full, List<EngineInstance> changed, List<String> removed, long sequence) {
  public EngineListDelta {
    changed = new ArrayList<>(changed);
    removed = new ArrayList<>(removed);
  }
}
