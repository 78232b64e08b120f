package io.pathdeck.serving.api;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.protocol.command.ClaimExists;
import io.pathdeck.protocol.command.ClaimGranted;
import io.pathdeck.protocol.command.ClaimRequest;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.protocol.model.ClaimState;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.routing.RoutableRequest;
import io.pathdeck.state.PartitionIds;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Serves {@code /v1/chat/completions} and {@code /v1/completions}. */
final class CompletionApi {
  private static final long CLAIM_TIMEOUT_MS = 3_000;
  private static final long RELEASE_TIMEOUT_MS = 30_000;
  private static final int NODE_PREFIX_SHIFT = 40;

  private final RoutingDuty routing;
  private final ControllerClient controllers;
  private final String nodeId;
  private final long requestTimeoutMs;
  private final AtomicLong nextRequestId;

  CompletionApi(
      RoutingDuty routing, ControllerClient controllers, String nodeId, long requestTimeoutMs) {
    this.routing = routing;
    this.controllers = controllers;
    this.nodeId = nodeId;
    this.requestTimeoutMs = requestTimeoutMs;
    long prefix = UUID.randomUUID().getMostSignificantBits() >>> NODE_PREFIX_SHIFT;
    this.nextRequestId = new AtomicLong(prefix << NODE_PREFIX_SHIFT & Long.MAX_VALUE);
  }

  void handle(CallerContext caller) {
    HttpExchange exchange = caller.exchange();
    Result<GenerationRequest, ApiError> generation =
        GenerationRequest.parse(exchange.path(), exchange.body());
    Result<Boolean, ApiError> repeatable = RequestHeaders.repeatable(exchange.headers());
    Result<Long, ApiError> deadline =
        RequestHeaders.deadlineMs(exchange.headers(), requestTimeoutMs);
    Result<String, ApiError> key = RequestHeaders.idempotencyKey(exchange.headers());
    Optional<ApiError> error = firstError(List.of(generation, repeatable, deadline, key));
    if (error.isPresent()) {
      exchange.sendError(error.get());
      return;
    }
    Optional<ServiceSpec> service =
        caller.configuration().serviceByModel(generation.value().model());
    if (service.isEmpty()) {
      String model = generation.value().model();
      exchange.sendError(ApiError.notFound("model_not_found", "no model " + model));
      return;
    }
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    RoutableRequest routable =
        new RoutableRequest(
            nextRequestId.incrementAndGet(),
            caller.tenant().name(),
            service.get().name(),
            generation.value().prefixHash(),
            repeatable.value(),
            nowMs + deadline.value());
    ResponseWriter writer =
        generation.value().stream()
            ? new StreamWriter(exchange)
            : new JsonWriter(exchange, generation.value().isChat());
    if (repeatable.value()) {
      submit(exchange, routable, generation.value(), writer);
    } else {
      claim(caller, routable, generation.value(), writer, key.value());
    }
  }

  private static Optional<ApiError> firstError(List<Result<?, ApiError>> results) {
    for (Result<?, ApiError> result : results) {
      if (!result.isOk()) {
        return Optional.of(result.error());
      }
    }
    return Optional.empty();
  }

  private void submit(
      HttpExchange exchange,
      RoutableRequest routable,
      GenerationRequest generation,
      ResponseWriter writer) {
    OnlineRequest request = new OnlineRequest(routable, generation, writer, System.nanoTime());
    exchange.onVanished(() -> routing.cancel(routable.requestId()));
    if (!routing.submit(request)) {
      writer.fail(ApiErrors.overloaded());
    }
  }

  // ---- requests that must not run twice

  private void claim(
      CallerContext caller,
      RoutableRequest routable,
      GenerationRequest generation,
      ResponseWriter writer,
      String idempotencyKey) {
    String key = idempotencyKey == null ? UUID.randomUUID().toString() : idempotencyKey;
    String claimKey = caller.tenant().name() + "/" + key;
    int partition = PartitionIds.partitionFor(claimKey, caller.configuration().partitions());
    String owner = nodeId + "-" + routable.requestId();
    String fingerprint = fingerprint(caller.exchange());
    ClaimRequest command = new ClaimRequest(claimKey, caller.tenant().name(), fingerprint, owner);
    ClaimedWriter claimed =
        new ClaimedWriter(writer, controllers, partition, claimKey, owner, generation);
    controllers
        .propose(partition, command, CLAIM_TIMEOUT_MS)
        .thenAccept(
            result -> {
              if (result.isOk() && result.value() instanceof ClaimGranted) {
                submit(caller.exchange(), routable, generation, claimed);
              } else if (result.isOk()) {
                answerFromClaim(caller.exchange(), result.value(), fingerprint);
              } else {
                onClaimFailed(caller.exchange(), partition, claimKey, owner, result.error());
              }
            });
  }

  private static String fingerprint(HttpExchange exchange) {
    String body = new String(exchange.body(), StandardCharsets.UTF_8);
    return Long.toHexString(PartitionIds.hash(exchange.path() + body));
  }

  private static void answerFromClaim(
      HttpExchange exchange, CommandResult result, String fingerprint) {
    if (!(result instanceof ClaimExists claim)) {
      exchange.sendError(ApiError.failed(500, "internal", "unexpected claim", false));
      return;
    }
    if (!claim.fingerprint().equals(fingerprint)) {
      exchange.sendError(
          ApiError.conflict(
              "idempotency_key_reused", "the key was used with another request", true));
    } else if (claim.state() == ClaimState.COMPLETED) {
      exchange.send(claim.status(), claim.contentType(), claim.body());
    } else {
      exchange.sendError(
          ApiError.conflict(
              "outcome_unknown",
              "the request is in progress or its outcome is unknown; it is not run again",
              false));
    }
  }

  /** The request is not run. The claim may have been stored all the same, so it is given back. */
  private void onClaimFailed(
      HttpExchange exchange, int partition, String claimKey, String owner, ControlError error) {
    if (error.mayHaveRun()) {
      controllers.propose(partition, new ReleaseClaim(claimKey, owner), RELEASE_TIMEOUT_MS);
    }
    exchange.sendError(ApiErrors.of(new ControlError(error.reason(), false)));
  }
}
