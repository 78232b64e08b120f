package io.pathdeck.testkit.engine;

import io.pathdeck.state.PartitionIds;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** A cache of prompt prefixes in blocks, least recently used first out. */
public final class PrefixCache {
  /** The tokens of one block. */
  public static final int BLOCK_TOKENS = 64;

  private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * 4;

  private final int capacity;
  private final BiConsumer<String, Long> onChange;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  /** Creates a cache that reports {@code stored} and {@code evicted} blocks. */
  public PrefixCache(int capacity, BiConsumer<String, Long> onChange) {
    this.capacity = capacity;
    this.onChange = onChange;
  }

  /** The hashes of a prompt's whole blocks; each covers the prompt up to its end. */
  public static List<Long> blocksOf(String prompt) {
    List<Long> hashes = new ArrayList<>();
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      hashes.add(PartitionIds.hash(prompt.substring(0, end)));
    }
    return hashes;
  }

  /** How many leading tokens of a prompt are cached. */
  public int cachedTokens(List<Long> prompt) {
    int cached = 0;
    for (long block : prompt) {
      if (blocks.get(block) == null) {
        break;
      }
      cached += BLOCK_TOKENS;
    }
    return cached;
  }

  /** Adds blocks, evicting the least recently used. */
  public void store(List<Long> prompt) {
    for (long block : prompt) {
      if (capacity > 0 && blocks.put(block, true) == null) {
        onChange.accept("stored", block);
      }
    }
    while (blocks.size() > capacity) {
      Map.Entry<Long, Boolean> eldest = blocks.entrySet().iterator().next();
      blocks.remove(eldest.getKey());
      onChange.accept("evicted", eldest.getKey());
    }
  }

  /** All blocks, the least recently used first. */
  public List<Long> blocks() {
    return new ArrayList<>(blocks.keySet());
  }
}
