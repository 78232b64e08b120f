package io.pathdeck.fleet.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A map that gives each change a sequence number, so that readers can be sent only the changes
 * since their last read.
 *
 * @param <V> the type of the entries; replacing an entry with an equal one is no change
 */
final class VersionedList<V> {
  private static final int MAX_REMOVALS = 1_024;

  private record Entry<V>(V value, long sequence) {}

  /** Changes since a sequence number, or all entries if {@code full}. */
  record Delta<V>(boolean full, List<V> changed, List<String> removed, long sequence) {}

  private final Map<String, Entry<V>> entries = new HashMap<>();
  private final Map<String, Long> removals = new HashMap<>();
  private long sequence;
  private long removalsDroppedUpTo;

  /** Adds or replaces an entry; returns false if it equals the previous one. */
  boolean put(String key, V value) {
    Entry<V> previous = entries.get(key);
    if (previous != null && Objects.equals(previous.value(), value)) {
      return false;
    }
    entries.put(key, new Entry<>(value, ++sequence));
    removals.remove(key);
    return true;
  }

  /** Removes an entry; returns whether there was one. */
  boolean remove(String key) {
    if (entries.remove(key) == null) {
      return false;
    }
    removals.put(key, ++sequence);
    if (removals.size() > MAX_REMOVALS) {
      removalsDroppedUpTo = sequence;
      removals.clear();
    }
    return true;
  }

  V get(String key) {
    Entry<V> entry = entries.get(key);
    return entry == null ? null : entry.value();
  }

  List<String> keys() {
    return new ArrayList<>(entries.keySet());
  }

  List<V> values() {
    return entries.values().stream().map(Entry::value).toList();
  }

  void clear() {
    entries.clear();
    removals.clear();
    sequence = 0;
    removalsDroppedUpTo = 0;
  }

  /**
   * Returns the changes after {@code readerSequence}; the full list if the reader has another list
   * or is too far behind.
   */
  Delta<V> since(long readerSequence, boolean hasThisList) {
    boolean full =
        !hasThisList || readerSequence < removalsDroppedUpTo || readerSequence > sequence;
    List<V> changed = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (Entry<V> entry : entries.values()) {
      if (full || entry.sequence() > readerSequence) {
        changed.add(entry.value());
      }
    }
    if (!full) {
      removals.forEach(
          (key, removalSequence) -> {
            if (removalSequence > readerSequence) {
              removed.add(key);
            }
          });
    }
    return new Delta<>(full, changed, removed, sequence);
  }
}
