package io.pathdeck.fleet.member;

import java.nio.charset.StandardCharsets;
import net.openhft.hashing.LongHashFunction;

/** Derives the ids of replicated-group members from their addresses. */
public final class MemberIds {
  private MemberIds() {}

  /** Returns the id of the member at {@code address}: positive and the same in every process. */
  public static int of(String address) {
    long hash = LongHashFunction.xx3().hashBytes(address.getBytes(StandardCharsets.UTF_8));
    int id = (int) (hash & Integer.MAX_VALUE);
    return id == 0 ? 1 : id;
  }
}
