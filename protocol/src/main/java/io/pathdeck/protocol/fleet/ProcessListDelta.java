package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Changes of the list of processes up to a sequence.
 *
 * @param epoch the leadership that counts the sequence
 * @param full whether {@code changed} is the whole list
 */
public record ProcessListDelta(
    long epoch, boolean full, List<FleetProcess> changed, List<String> removed, long sequence) {
  public ProcessListDelta {
    changed = new ArrayList<>(changed);
    removed = new ArrayList<>(removed);
  }
}
