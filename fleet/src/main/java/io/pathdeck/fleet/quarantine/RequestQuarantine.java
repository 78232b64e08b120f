package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The quarantined requests known to this process; confined to the event loop.
 *
 * <p>The leading coordinator decides, since all processes report crashes to it. A request that only
 * this process has found is quarantined until the leader's decision can be expected.
 */
final class RequestQuarantine {
  /** Time for several leader elections, which take 0.6 to 1.2 s each. */
  private static final long LOCAL_VALID_MS = 10_000;

  private final Set<Integer> outlines = new HashSet<>();
  private final Set<RequestFingerprint> confirmed = new HashSet<>();
  private final Set<RequestFingerprint> local = new HashSet<>();
  private long version = QuarantineList.NONE.version();
  private long localUntilMs;

  /** Applies the list of the leading coordinator. */
  void update(QuarantineList list) {
    if (list.version() == version) {
      return;
    }
    version = list.version();
    confirmed.clear();
    confirmed.addAll(list.requests());
    local.clear();
    rebuildOutlines();
  }

  /** Adds requests that this process has found. */
  void addLocal(Collection<RequestFingerprint> found, long nowMs) {
    if (local.addAll(found)) {
      localUntilMs = nowMs + LOCAL_VALID_MS;
      rebuildOutlines();
    }
  }

  private void rebuildOutlines() {
    outlines.clear();
    confirmed.forEach(request -> outlines.add(request.outline()));
    local.forEach(request -> outlines.add(request.outline()));
  }

  boolean isConfirmed(RequestFingerprint request) {
    return confirmed.contains(request);
  }

  /** Whether a call's request is quarantined; reads the body only if the outline matches. */
  boolean isQuarantined(EngineCall call, long nowMs) {
    if (!outlines.contains(RequestFingerprints.outline(call))) {
      return false;
    }
    RequestFingerprint request = RequestFingerprints.fingerprint(call);
    return confirmed.contains(request) || (nowMs < localUntilMs && local.contains(request));
  }
}
