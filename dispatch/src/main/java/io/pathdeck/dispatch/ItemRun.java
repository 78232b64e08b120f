package io.pathdeck.dispatch;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.model.ItemResult;
import io.pathdeck.protocol.model.LeasedItem;
import io.pathdeck.serving.api.CompletionAssembler;
import io.pathdeck.serving.api.GenerationRequest;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;

/** A leased item with its request and the partial response. */
final class ItemRun {
  private static final int OK = 200;

  final ItemKey key;
  final LeasedItem leasedItem;
  private final ObjectNode inputLine;
  private final GenerationRequest generation;
  private final CompletionAssembler assembler;

  /** The number of the running attempt, or 0; guarded by {@code this}. */
  private int runningAttempt;

  private int attempts;
  EngineClient.Call call;

  ItemRun(ItemKey key, LeasedItem leased) {
    this.key = key;
    this.leasedItem = leased;
    this.inputLine = Json.parseObject(leased.line()).orElse(Json.object());
    byte[] body = Json.encode(inputLine.path("body"));
    Result<GenerationRequest, ApiError> parsed = GenerationRequest.parse(leased.endpoint(), body);
    this.generation = parsed.isOk() ? parsed.value() : null;
    this.assembler = new CompletionAssembler(leased.endpoint().equals(GenerationRequest.CHAT_PATH));
  }

  /** Returns the validated request, or null if the item is invalid. */
  GenerationRequest generation() {
    return generation;
  }

  /** Starts the next attempt and returns its number. */
  synchronized int beginAttempt() {
    attempts++;
    runningAttempt = attempts;
    return attempts;
  }

  /** Ends the running attempt; its later events are ignored. */
  synchronized void endAttempt() {
    runningAttempt = 0;
  }

  synchronized boolean isRunning(int attempt) {
    return runningAttempt == attempt;
  }

  synchronized boolean isRunning() {
    return runningAttempt != 0;
  }

  /** Adds events of an attempt if it is still running. */
  synchronized void addEvents(int attempt, byte[] events, int tokens) {
    if (runningAttempt == attempt) {
      assembler.add(events, tokens);
    }
  }

  synchronized int tokens() {
    return assembler.tokens();
  }

  String requestId() {
    return key.jobId() + "-" + key.index();
  }

  /** Returns a unique ID of an attempt; it includes the lease, as each lease numbers from 1. */
  String attemptId(String dispatcherId, int attempt) {
    return requestId() + "." + dispatcherId + "." + key.leaseId() + "." + attempt;
  }

  /** Returns the result of a completed item. */
  synchronized ItemResult toResult() {
    ObjectNode result = newOutputLine();
    ObjectNode response = result.putObject("response");
    response.put("status_code", OK);
    response.put("request_id", requestId());
    response.set("body", assembler.assemble());
    result.putNull("error");
    return new ItemResult(
        key.jobId(), key.index(), key.leaseId(), true, Json.encode(result), assembler.tokens());
  }

  /** Returns the result of an item that failed permanently. */
  synchronized ItemResult toFailure(String code, String message) {
    ObjectNode result = newOutputLine();
    result.putNull("response");
    result.putObject("error").put("code", code).put("message", message);
    return new ItemResult(
        key.jobId(), key.index(), key.leaseId(), false, Json.encode(result), assembler.tokens());
  }

  private ObjectNode newOutputLine() {
    ObjectNode result = Json.object();
    result.put("id", requestId());
    result.put("custom_id", inputLine.path("custom_id").asText());
    return result;
  }
}
