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
 * Lets a request that must not be repeated run at most once, on whichever nodes it is sent to.
 *
 * <p>The request's key is claimed in a replicated group before anything is sent to an engine. Only
 * the owner of a new claim may run the request; everybody else is answered from the claim. A claim
 * whose owner died stays pending: its outcome is unknown, and that is what a resend is told.
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
   * What to claim.
   *
   * @param claimKey identifies the request across resends
   * @param fingerprint differs between requests that wrongly share a key
   * @param owner identifies this arrival of the request
   */
  public record Claim(
      int partition, String claimKey, String tenant, String fingerprint, String owner) {}

  /** How a claim ended; exactly one method is called, on any thread. */
  public interface ClaimListener {
    /** The request may run now; its answer goes through {@code claimedWriter}. */
    void granted(ResponseWriter claimedWriter);

    /** The request ran before; this is its answer. */
    void alreadyCompleted(int status, String contentType, byte[] body);

    /** The request is not run by this arrival. */
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

  /** The claim may have been stored although no answer came, so it is given back. */
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
