package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Splits uploaded files into lines and validates batch input. */
final class UploadedLines {
  static final int MAX_ITEMS = 100_000;
  private static final int MAX_LINE_BYTES = 1 << 20;

  private UploadedLines() {}

  /** Returns the non-empty lines of {@code content}. */
  static List<byte[]> split(byte[] content) {
    List<byte[]> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i <= content.length; i++) {
      if (i == content.length || content[i] == '\n') {
        int end = i > start && content[i - 1] == '\r' ? i - 1 : i;
        if (end > start) {
          lines.add(Arrays.copyOfRange(content, start, end));
        }
        start = i + 1;
      }
    }
    return lines;
  }

  /** Returns the lines of a batch input file, or an error if one is invalid. */
  static Result<List<byte[]>, ApiError> checkBatchInput(List<byte[]> lines) {
    if (lines.isEmpty()) {
      return Result.err(ApiError.invalid("empty_file", "the file has no lines"));
    }
    if (lines.size() > MAX_ITEMS) {
      return Result.err(
          ApiError.invalid("too_many_items", "a file holds at most " + MAX_ITEMS + " items"));
    }
    Set<String> customIds = new HashSet<>();
    String firstModel = null;
    for (int i = 0; i < lines.size(); i++) {
      String problem = checkItem(lines.get(i), customIds);
      ObjectNode item = Json.parseObject(lines.get(i)).orElse(Json.object());
      String model = item.path("body").path("model").asText();
      firstModel = firstModel == null ? model : firstModel;
      if (problem == null && !model.equals(firstModel)) {
        problem = "all items must name the same model";
      }
      if (problem != null) {
        return Result.err(ApiError.invalid("invalid_item", "line " + (i + 1) + ": " + problem));
      }
    }
    return Result.ok(lines);
  }

  private static String checkItem(byte[] line, Set<String> customIds) {
    if (line.length > MAX_LINE_BYTES) {
      return "longer than " + MAX_LINE_BYTES + " bytes";
    }
    ObjectNode item = Json.parseObject(line).orElse(null);
    if (item == null) {
      return "not a JSON object";
    }
    JsonNode customId = item.path("custom_id");
    if (!customId.isTextual() || customId.textValue().isEmpty()) {
      return "custom_id: expected a text";
    }
    if (!customIds.add(customId.textValue())) {
      return "custom_id: used twice";
    }
    if (!item.path("method").asText("POST").equals("POST")) {
      return "method: expected POST";
    }
    String url = item.path("url").asText();
    if (!GenerationRequest.isGenerationPath(url)) {
      return "url: expected "
          + GenerationRequest.CHAT_PATH
          + " or "
          + GenerationRequest.COMPLETIONS_PATH;
    }
    JsonNode body = item.path("body");
    if (!body.isObject()) {
      return "body: expected an object";
    }
    Result<GenerationRequest, ApiError> parsed = GenerationRequest.parse(url, Json.encode(body));
    return parsed.isOk() ? null : "body: " + parsed.error().message();
  }
}
