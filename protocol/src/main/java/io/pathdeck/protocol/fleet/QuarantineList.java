package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that must not reach engines, because engines end under them.
 *
 * @param version rises with each change
 */
public record QuarantineList(long version, List<RequestFingerprint> requests) {
  /** Nothing was ever in quarantine. */
  public static final QuarantineList NONE = new QuarantineList(0, List.of());

  public QuarantineList {
    requests = new ArrayList<>(requests);
  }
}
