package io.pathdeck.serving.api;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.ClaimExists;
import io.pathdeck.protocol.command.ClaimGranted;
import io.pathdeck.protocol.command.ClaimRequest;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.protocol.model.ClaimState;
import io.pathdeck.serving.http.ApiError;

/**
 * Ensures that a non-repeatable request runs at most once across all nodes.
 *
 * <p>The request's key is claimed in a replicated group before an engine gets the request. Only the
 * owner of a new claim may run the request; resends receive the claim's stored response. If the
 * owner fails, its claim stays pending, and resends receive an error for an unknown outcome.
 */
public final class ClaimService {
  private static final long CLAIM_TIMEOUT_MS = 3_000;
  private static final long RELEASE_TIMEOUT_MS = 30_000;
  private static final int INTERNAL_ERROR = 500;

  private final ControlPlane controllers;

  public ClaimService(ControlPlane controllers) {
    this.controllers = controllers;
  }

  /**
   * A claim on the key of a request.
   *
   * @param claimKey the key shared by all resends of the request
   * @param fingerprint a hash of the request, to detect different requests with the same key
   * @param owner the ID of this submission of the request
   */
  public record Claim(
      int partition, String claimKey, String tenant, String fingerprint, String owner) {}

  /** Receives the result of a claim; exactly one method is called, on any thread. */
  public interface ClaimListener {
    /** Handles a granted claim; the response must be written to {@code claimedWriter}. */
    void granted(ResponseWriter claimedWriter);

    /** Handles a resend of a completed request with its stored response. */
    void alreadyCompleted(int status, String contentType, byte[] body);

    /** Handles a refused claim; this submission must not run the request. */
    void refused(ApiError error);
  }

  /** Claims the key of a request. */
  public void claim(
      Claim claim, GenerationRequest generation, ResponseWriter writer, ClaimListener outcome) {
    ClaimRequest command =
        new ClaimRequest(claim.claimKey(), claim.tenant(), claim.fingerprint(), claim.owner());
    controllers
        .propose(claim.partition(), command, CLAIM_TIMEOUT_MS)
        .thenAccept(result -> onClaimed(claim, generation, writer, outcome, result));
  }

  private void onClaimed(
      Claim claim,
      GenerationRequest generation,
      ResponseWriter writer,
      ClaimListener outcome,
      Result<CommandResult, ControlError> result) {
    if (!result.isOk()) {
      refuseAfterError(claim, outcome, result.error());
    } else if (result.value() instanceof ClaimGranted) {
      outcome.granted(new ClaimedWriter(writer, controllers, claim, generation));
    } else if (result.value() instanceof ClaimExists existing) {
      reportExisting(existing, claim.fingerprint(), outcome);
    } else {
      outcome.refused(ApiError.failed(INTERNAL_ERROR, "internal", "unexpected claim", false));
    }
  }

  /** Refuses the request and releases its claim, which may be stored in spite of the error. */
  private void refuseAfterError(Claim claim, ClaimListener outcome, ControlError error) {
    if (error.mayHaveRun()) {
      ReleaseClaim release = new ReleaseClaim(claim.claimKey(), claim.owner());
      controllers.propose(claim.partition(), release, RELEASE_TIMEOUT_MS);
    }
    outcome.refused(ApiErrors.of(new ControlError(error.reason(), false)));
  }

  private static void reportExisting(
      ClaimExists existing, String fingerprint, ClaimListener outcome) {
    if (!existing.fingerprint().equals(fingerprint)) {
      outcome.refused(
          ApiError.conflict(
              "idempotency_key_reused", "the key was used with another request", true));
    } else if (existing.state() == ClaimState.COMPLETED) {
      outcome.alreadyCompleted(existing.status(), existing.contentType(), existing.body());
    } else {
      outcome.refused(
          ApiError.conflict(
              "outcome_unknown",
              "the request is in progress or its outcome is unknown; it is not run again",
              false));
    }
  }
}
