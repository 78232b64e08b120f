package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;
import io.pathdeck.state.PartitionIds;

/**
 * A validated generation request.
 *
 * @param stream whether the caller requested a streamed response
 * @param engineBody the request body for the engine, always with streaming enabled
 * @param prefixHash the hash of the prompt's beginning
 */
public record GenerationRequest(
    String path, String model, boolean stream, byte[] engineBody, long prefixHash) {
  /** The path of chat completions. */
  public static final String CHAT_PATH = "/v1/chat/completions";

  /** The path of text completions. */
  public static final String COMPLETIONS_PATH = "/v1/completions";

  private static final int PREFIX_LENGTH = 512;
  private static final int MAX_TOKENS = 1_000_000;

  /** Returns whether {@code path} is a completions endpoint. */
  public static boolean isGenerationPath(String path) {
    return path.equals(CHAT_PATH) || path.equals(COMPLETIONS_PATH);
  }

  /** Returns whether this is a chat completion. */
  public boolean isChat() {
    return path.equals(CHAT_PATH);
  }

  /** Parses and validates a request body. */
  public static Result<GenerationRequest, ApiError> parse(String path, byte[] body) {
    return Json.parseObject(body)
        .map(object -> check(path, object, body))
        .orElseGet(
            () -> Result.err(ApiError.invalid("invalid_json", "the body is not a JSON object")));
  }

  private static Result<GenerationRequest, ApiError> check(
      String path, ObjectNode object, byte[] body) {
    JsonNode model = object.path("model");
    if (!model.isTextual() || model.textValue().isEmpty()) {
      return invalid("model", "a text");
    }
    boolean chat = path.equals(CHAT_PATH);
    JsonNode prompt = object.path(chat ? "messages" : "prompt");
    String problem = chat ? checkMessages(prompt) : checkPrompt(prompt);
    if (problem != null) {
      return invalid(chat ? "messages" : "prompt", problem);
    }
    JsonNode stream = object.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return invalid("stream", "true or false");
    }
    if (!isValidTokenLimit(object)) {
      return invalid("max_tokens", "an integer from 1 to " + MAX_TOKENS);
    }
    if (object.path("n").asInt(1) != 1) {
      return invalid("n", "1: one choice is generated per request");
    }
    boolean streams = stream.asBoolean(false);
    byte[] engineBody = streams ? body : withStream(object);
    return Result.ok(
        new GenerationRequest(path, model.textValue(), streams, engineBody, prefixHash(prompt)));
  }

  private static boolean isValidTokenLimit(ObjectNode object) {
    JsonNode limit =
        object.path(object.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens");
    if (limit.isMissingNode() || limit.isNull()) {
      return true;
    }
    return limit.isInt() && limit.intValue() >= 1 && limit.intValue() <= MAX_TOKENS;
  }

  private static String checkMessages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      return "a list of at least one message";
    }
    for (JsonNode message : messages) {
      if (!message.isObject() || !message.path("role").isTextual()) {
        return "messages with a role";
      }
    }
    return null;
  }

  private static String checkPrompt(JsonNode prompt) {
    return prompt.isTextual() ? null : "a text";
  }

  private static Result<GenerationRequest, ApiError> invalid(String field, String expected) {
    return Result.err(ApiError.invalid("invalid_value", field + ": expected " + expected));
  }

  private static byte[] withStream(ObjectNode object) {
    object.put("stream", true);
    object.putObject("stream_options").put("include_usage", true);
    return Json.encode(object);
  }

  private static long prefixHash(JsonNode prompt) {
    String text = prompt.isTextual() ? prompt.textValue() : prompt.toString();
    return PartitionIds.hash(text.substring(0, Math.min(PREFIX_LENGTH, text.length())));
  }
}
