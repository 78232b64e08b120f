package io.pathdeck.fleet.member;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** Ids of members of replicated groups, derived from the addresses where they are reached. */
public final class MemberIds {
  private MemberIds() {}

  /** The id of the member at {@code address}; positive and the same everywhere. */
  public static int of(String address) {
    long hash = LongHashFunction.xx3().hashBytes(address.getBytes(StandardCharsets.UTF_8));
    int id = (int) (hash & Integer.MAX_VALUE);
    return id == 0 ? 1 : id;
  }
}
