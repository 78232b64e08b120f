package io.pathdeck.serving.api;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlPlane;
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

/** Handles {@code /v1/chat/completions} and {@code /v1/completions}. */
final class CompletionApi {
  private static final int RANDOM_PREFIX_SHIFT = 40;

  private final RoutingDuty routing;
  private final ClaimService claims;
  private final String nodeId;
  private final long requestTimeoutMs;
  private final AtomicLong nextRequestId;

  CompletionApi(
      RoutingDuty routing, ControlPlane controllers, String nodeId, long requestTimeoutMs) {
    this.routing = routing;
    this.claims = new ClaimService(controllers);
    this.nodeId = nodeId;
    this.requestTimeoutMs = requestTimeoutMs;
    long prefix = UUID.randomUUID().getMostSignificantBits() >>> RANDOM_PREFIX_SHIFT;
    this.nextRequestId = new AtomicLong(prefix << RANDOM_PREFIX_SHIFT & Long.MAX_VALUE);
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
    exchange.setDisconnectListener(() -> routing.cancel(routable.requestId()));
    if (!routing.submit(request)) {
      writer.fail(ApiErrors.overloaded());
    }
  }

  // ---- non-repeatable requests

  private void claim(
      CallerContext caller,
      RoutableRequest routable,
      GenerationRequest generation,
      ResponseWriter writer,
      String idempotencyKey) {
    HttpExchange exchange = caller.exchange();
    String key = idempotencyKey == null ? UUID.randomUUID().toString() : idempotencyKey;
    String claimKey = caller.tenant().name() + "/" + key;
    ClaimService.Claim claim =
        new ClaimService.Claim(
            PartitionIds.partitionForKey(claimKey, caller.configuration().partitions()),
            claimKey,
            caller.tenant().name(),
            fingerprint(exchange),
            nodeId + "-" + routable.requestId());
    claims.claim(
        claim,
        generation,
        writer,
        new ClaimService.ClaimListener() {
          @Override
          public void granted(ResponseWriter claimedWriter) {
            submit(exchange, routable, generation, claimedWriter);
          }

          @Override
          public void alreadyCompleted(int status, String contentType, byte[] body) {
            exchange.send(status, contentType, body);
          }

          @Override
          public void refused(ApiError error) {
            exchange.sendError(error);
          }
        });
  }

  private static String fingerprint(HttpExchange exchange) {
    String body = new String(exchange.body(), StandardCharsets.UTF_8);
    return Long.toHexString(PartitionIds.hash(exchange.path() + body));
  }
}
