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
 * <p>The leading coordinator receives the crashes from all processes and decides on the quarantine.
 * Until its next list arrives, or a time limit passes, this process also quarantines the crash
 * causes that it identified itself.
 */
final class RequestQuarantine {
  /** How long causes that only this process knows stay quarantined; outlasts several elections. */
  private static final long LOCAL_QUARANTINE_MS = 10_000;

  private final Set<Integer> outlines = new HashSet<>();
  private final Set<RequestFingerprint> confirmedRequests = new HashSet<>();
  private final Set<RequestFingerprint> localRequests = new HashSet<>();
  private long version = QuarantineList.NONE.version();
  private long localExpiryMs;

  /**
   * Replaces all quarantined requests with the list of the leading coordinator; ignored if its
   * version is known.
   */
  void update(QuarantineList list) {
    if (list.version() == version) {
      return;
    }
    version = list.version();
    confirmedRequests.clear();
    confirmedRequests.addAll(list.requests());
    localRequests.clear();
    rebuildOutlines();
  }

  /** Quarantines crash causes that this process identified itself. */
  void addLocal(Collection<RequestFingerprint> causes, long nowMs) {
    if (localRequests.addAll(causes)) {
      localExpiryMs = nowMs + LOCAL_QUARANTINE_MS;
      rebuildOutlines();
    }
  }

  private void rebuildOutlines() {
    outlines.clear();
    confirmedRequests.forEach(request -> outlines.add(request.outline()));
    localRequests.forEach(request -> outlines.add(request.outline()));
  }

  boolean isConfirmed(RequestFingerprint request) {
    return confirmedRequests.contains(request);
  }

  /** Whether a call's request is quarantined; reads the body only if the outline matches. */
  boolean isQuarantined(EngineCall call, long nowMs) {
    if (!outlines.contains(RequestFingerprints.outline(call))) {
      return false;
    }
    RequestFingerprint request = RequestFingerprints.fingerprint(call);
    return confirmedRequests.contains(request)
        || (nowMs < localExpiryMs && localRequests.contains(request));
  }
}
