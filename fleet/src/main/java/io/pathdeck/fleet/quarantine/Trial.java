package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One send of a quarantined call, to find out whether it was quarantined by mistake.
 *
 * @param id tells this trial from others of the same suspects
 * @param suspects all that is quarantined in the call
 */
record Trial(long id, Set<RequestFingerprint> suspects) {
  static Trial of(Set<RequestFingerprint> suspects) {
    return new Trial(ThreadLocalRandom.current().nextLong(), Set.copyOf(suspects));
  }

  /** Whether the call itself is quarantined, so that only a complete response proves it sound. */
  boolean isOfRequest() {
    return !suspects.stream().allMatch(RequestFingerprint::isPromptPart);
  }
}
