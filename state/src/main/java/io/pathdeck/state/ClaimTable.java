package io.pathdeck.state;

import io.pathdeck.protocol.command.ClaimExists;
import io.pathdeck.protocol.command.ClaimGranted;
import io.pathdeck.protocol.command.ClaimRequest;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CompleteClaim;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.protocol.model.ClaimState;
import io.pathdeck.protocol.snapshot.ClaimRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Claims of requests that must not run twice. */
final class ClaimTable {
  /** How long a claim and its response are kept after the last change, in log time. */
  static final long RETENTION_MS = 24 * 60 * 60 * 1_000L;

  private final Map<String, ClaimRecord> claims = new LinkedHashMap<>();

  CommandResult claim(ClaimRequest request, long nowMs) {
    prune(nowMs);
    ClaimRecord existing = claims.get(request.claimKey());
    if (existing == null) {
      ClaimExists pending =
          new ClaimExists(ClaimState.PENDING, request.fingerprint(), 0, "", new byte[0]);
      put(request.claimKey(), request.owner(), pending, nowMs);
      return new ClaimGranted();
    }
    boolean resend =
        existing.owner().equals(request.owner()) && existing.claim().state() == ClaimState.PENDING;
    return resend ? new ClaimGranted() : existing.claim();
  }

  CommandResult complete(CompleteClaim command, long nowMs) {
    ClaimRecord existing = claims.get(command.claimKey());
    if (!isPendingOf(existing, command.owner())) {
      return new Rejected(RejectionCode.CONFLICT, "the claim is not pending with this owner");
    }
    ClaimExists completed =
        new ClaimExists(
            ClaimState.COMPLETED,
            existing.claim().fingerprint(),
            command.status(),
            command.contentType(),
            command.body());
    put(command.claimKey(), command.owner(), completed, nowMs);
    return new Done();
  }

  CommandResult release(ReleaseClaim command) {
    if (isPendingOf(claims.get(command.claimKey()), command.owner())) {
      claims.remove(command.claimKey());
    }
    return new Done();
  }

  private static boolean isPendingOf(ClaimRecord record, String owner) {
    return record != null
        && record.owner().equals(owner)
        && record.claim().state() == ClaimState.PENDING;
  }

  private void put(String key, String owner, ClaimExists claim, long nowMs) {
    claims.remove(key);
    claims.put(key, new ClaimRecord(key, owner, nowMs + RETENTION_MS, claim));
  }

  private void prune(long nowMs) {
    Iterator<ClaimRecord> oldest = claims.values().iterator();
    while (oldest.hasNext() && oldest.next().expiresAtMs() <= nowMs) {
      oldest.remove();
    }
  }

  List<Object> records() {
    return new ArrayList<>(claims.values());
  }

  void restore(ClaimRecord record) {
    claims.put(record.claimKey(), record);
  }

  void clear() {
    claims.clear();
  }
}
