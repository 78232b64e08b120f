package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The requests in quarantine as this process knows them; confined to the event loop.
 *
 * <p>The leading coordinator decides, since it hears of the ends that all processes noticed. What
 * this process has found by itself counts only until the leader's word can be expected, and for
 * longer while the process goes on finding it.
 */
final class RequestQuarantine {
  /** Several elections of 0.6 to 1.2 s. */
  private static final long OWN_VALID_MS = 10_000;

  private final Set<Integer> outlines = new HashSet<>();
  private final Set<RequestFingerprint> told = new HashSet<>();
  private final Set<RequestFingerprint> own = new HashSet<>();
  private long version = QuarantineList.NONE.version();
  private long ownUntilMs;

  /** Follows the list that the leading coordinator tells. */
  void follow(QuarantineList list) {
    if (list.version() == version) {
      return;
    }
    version = list.version();
    told.clear();
    told.addAll(list.requests());
    own.clear();
    noteOutlines();
  }

  /** Adds what this process has found by itself. */
  void addOwn(Collection<RequestFingerprint> found, long nowMs) {
    if (own.addAll(found)) {
      ownUntilMs = nowMs + OWN_VALID_MS;
      noteOutlines();
    }
  }

  private void noteOutlines() {
    outlines.clear();
    told.forEach(request -> outlines.add(request.outline()));
    own.forEach(request -> outlines.add(request.outline()));
  }

  boolean contains(RequestFingerprint request) {
    return told.contains(request);
  }

  /** Whether a call's request is in quarantine; the body is read only where the outline fits. */
  boolean holds(EngineCall call, long nowMs) {
    if (!outlines.contains(RequestContent.outline(call))) {
      return false;
    }
    RequestFingerprint request = RequestContent.fingerprint(call);
    return told.contains(request) || (nowMs < ownUntilMs && own.contains(request));
  }
}
