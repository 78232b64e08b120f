package io.pathdeck.state;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.openhft.hashing.LongHashFunction;

/**
 * Identifiers that contain the jobs partition they belong to, for example {@code batch_03-9f...},
 * and the mapping of keys to partitions.
 */
public final class PartitionIds {
  private static final Pattern SYNTAX = Pattern.compile("[a-z]+[-_](\\d{2})-[0-9a-f]{16,32}");
  private static final LongHashFunction HASH = LongHashFunction.xx();

  private PartitionIds() {}

  public static String create(String prefix, int partition, long high, long low) {
    return String.format(Locale.ROOT, "%s%02d-%016x%016x", prefix, partition, high, low);
  }

  /** The partition of an identifier; empty when it is malformed or out of range. */
  public static Optional<Integer> partitionOf(String id, int partitions) {
    Matcher matcher = SYNTAX.matcher(id);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int partition = Integer.parseInt(matcher.group(1));
    boolean valid = partition >= 1 && partition <= partitions;
    return valid ? Optional.of(partition) : Optional.empty();
  }

  /** The partition that a key belongs to. */
  public static int partitionForKey(String key, int partitions) {
    return 1 + (int) Long.remainderUnsigned(HASH.hashChars(key), partitions);
  }

  /**
   * The 64-bit xxHash (XXH64, seed 0) of a text's characters. Its values must stay stable: file
   * identifiers contain them, and they are stored as fingerprints of requests.
   */
  public static long hash(String text) {
    return HASH.hashChars(text);
  }
}
