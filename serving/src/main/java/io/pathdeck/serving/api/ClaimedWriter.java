package io.pathdeck.serving.api;

import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.CompleteClaim;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;
import java.io.ByteArrayOutputStream;

/**
 * Writes the response of a claimed request and stores it in the claim for resends. If the request
 * did not run, its claim is released before the error is sent.
 */
final class ClaimedWriter implements ResponseWriter {
  private static final long CLAIM_TIMEOUT_MS = 5_000;
  private static final int OK = 200;
  private static final int MAX_STORED_BYTES = 4 * 1024 * 1024;

  private final ResponseWriter delegate;
  private final ControlPlane controllers;
  private final ClaimService.Claim claim;
  private final boolean stream;
  private final CompletionAssembler assembler;
  private final ByteArrayOutputStream events = new ByteArrayOutputStream();

  ClaimedWriter(
      ResponseWriter delegate,
      ControlPlane controllers,
      ClaimService.Claim claim,
      GenerationRequest generation) {
    this.delegate = delegate;
    this.controllers = controllers;
    this.claim = claim;
    this.stream = generation.stream();
    this.assembler = new CompletionAssembler(generation.isChat());
  }

  @Override
  public boolean onEvents(byte[] part, int tokens) {
    if (stream && events.size() + part.length <= MAX_STORED_BYTES) {
      events.writeBytes(part);
    } else if (!stream) {
      assembler.add(part, tokens);
    }
    return delegate.onEvents(part, tokens);
  }

  @Override
  public void complete() {
    String contentType = stream ? StreamWriter.CONTENT_TYPE : "application/json";
    byte[] body = stream ? events.toByteArray() : Json.encode(assembler.assemble());
    CompleteClaim command =
        new CompleteClaim(claim.claimKey(), claim.owner(), OK, contentType, body);
    controllers
        .propose(claim.partition(), command, CLAIM_TIMEOUT_MS)
        .thenAccept(result -> delegate.complete());
  }

  @Override
  public void fail(ApiError error) {
    if (!error.notRun()) {
      delegate.fail(error);
      return;
    }
    controllers
        .propose(
            claim.partition(), new ReleaseClaim(claim.claimKey(), claim.owner()), CLAIM_TIMEOUT_MS)
        .thenAccept(result -> delegate.fail(error));
  }
}
