package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * The quarantined requests and parts of prompts known to this process; confined to the event loop.
 *
 * <p>The leading coordinator receives the crashes from all processes and decides on the quarantine.
 * Until its next list arrives, or a time limit passes, this process also quarantines the crash
 * causes that it identified itself.
 */
final class RequestQuarantine {
  /** How long causes that only this process knows stay quarantined; outlasts several elections. */
  private static final long LOCAL_QUARANTINE_MS = 10_000;

  /**
   * Longer than it takes until the leader has judged what it was told, late reports included, and
   * its next list arrives.
   */
  static final long LOCAL_QUARANTINE_AFTER_REPORT_MS = 3_000;

  private final Set<Integer> outlines = new HashSet<>();
  private final Set<RequestFingerprint> confirmedRequests = new HashSet<>();
  private final Set<RequestFingerprint> localRequests = new HashSet<>();
  private long version = QuarantineList.NONE.version();
  private long localExpiryMs;
  private boolean hasPromptParts;

  /**
   * Replaces all quarantined requests with the list of the leading coordinator; ignored if its
   * version is known.
   *
   * @return the entries that the leader has added
   */
  Set<RequestFingerprint> update(QuarantineList list) {
    if (list.version() == version) {
      return Set.of();
    }
    version = list.version();
    Set<RequestFingerprint> added = new HashSet<>(list.requests());
    added.removeAll(confirmedRequests);
    confirmedRequests.clear();
    confirmedRequests.addAll(list.requests());
    localRequests.clear();
    rebuildOutlines();
    return added;
  }

  /** Quarantines crash causes that this process identified itself. */
  void addLocal(Collection<RequestFingerprint> causes, long nowMs) {
    if (nowMs >= localExpiryMs) {
      localRequests.clear();
    }
    if (localRequests.addAll(causes)) {
      localExpiryMs = nowMs + LOCAL_QUARANTINE_MS;
      rebuildOutlines();
    }
  }

  /**
   * Records that the leading coordinator knows all crashes of this process. What it does not list
   * soon is no cause by what it knows, which is more.
   */
  void onCrashesReported(long nowMs) {
    localExpiryMs = Math.min(localExpiryMs, nowMs + LOCAL_QUARANTINE_AFTER_REPORT_MS);
  }

  private void rebuildOutlines() {
    outlines.clear();
    confirmedRequests.forEach(request -> outlines.add(request.outline()));
    localRequests.forEach(request -> outlines.add(request.outline()));
    hasPromptParts =
        Stream.concat(confirmedRequests.stream(), localRequests.stream())
            .anyMatch(RequestFingerprint::isPromptPart);
  }

  boolean isConfirmed(RequestFingerprint request) {
    return confirmedRequests.contains(request);
  }

  /** Whether a request or part is in the list, or was added locally. */
  boolean contains(RequestFingerprint fingerprint) {
    return confirmedRequests.contains(fingerprint) || localRequests.contains(fingerprint);
  }

  /**
   * Returns the fingerprints of a call's request, and of the parts of its prompt, that are
   * quarantined; reads the body only if the outline matches, and the parts only if some are
   * quarantined.
   */
  List<RequestFingerprint> find(
      EngineCall call,
      Function<EngineCall, RequestFingerprint> fingerprint,
      Function<EngineCall, List<RequestFingerprint>> promptParts,
      long nowMs) {
    boolean mayContainRequest = outlines.contains(RequestFingerprints.outline(call));
    if (!hasPromptParts && !mayContainRequest) {
      return List.of();
    }
    List<RequestFingerprint> suspects = new ArrayList<>();
    if (hasPromptParts) {
      suspects.addAll(promptParts.apply(call));
    }
    if (mayContainRequest) {
      suspects.add(fingerprint.apply(call));
    }
    suspects.removeIf(suspect -> !isInForce(suspect, nowMs));
    return suspects;
  }

  private boolean isInForce(RequestFingerprint fingerprint, long nowMs) {
    return confirmedRequests.contains(fingerprint)
        || (nowMs < localExpiryMs && localRequests.contains(fingerprint));
  }
}
