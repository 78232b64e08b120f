package io.pathdeck.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.testkit.engine.EmulatedText;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The callers' API over plain HTTP, on a whole fleet in one process. */
class TestCallersApi {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CHAT = "/v1/chat/completions";

  @TempDir static Path folder;
  private static InProcessFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = new InProcessFleet(folder);
  }

  @AfterAll
  static void stop() throws Exception {
    fleet.close();
  }

  private static ObjectNode chat(String prompt, boolean stream) {
    ObjectNode body = JSON.createObjectNode();
    body.put("model", InProcessFleet.MODEL);
    body.put("max_tokens", 12);
    body.put("stream", stream);
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return body;
  }

  private static String content(JsonNode answer) {
    return answer.path("choices").path(0).path("message").path("content").asText();
  }

  private static JsonNode error(HttpResponse<String> response) throws Exception {
    return JSON.readTree(response.body()).path("error");
  }

  @Test
  void chatCompletionReturnsTheWholeAnswer() throws Exception {
    ObjectNode body = chat("the price of tomatoes", false);
    HttpResponse<String> response = fleet.postJson(0, CHAT, body.toString());
    assertThat(response.statusCode()).isEqualTo(200);
    JsonNode answer = JSON.readTree(response.body());
    assertThat(answer.path("object").asText()).isEqualTo("chat.completion");
    assertThat(content(answer)).isEqualTo(EmulatedText.answer(body));
    assertThat(answer.path("usage").path("completion_tokens").asInt()).isEqualTo(12);
  }

  @Test
  void chatCompletionStreams() throws Exception {
    ObjectNode body = chat("the price of dates", true);
    HttpResponse<String> response = fleet.postJson(1, CHAT, body.toString());
    assertThat(response.headers().firstValue("content-type").orElse(""))
        .startsWith("text/event-stream");
    StringBuilder text = new StringBuilder();
    for (String line : response.body().split("\n", -1)) {
      if (line.startsWith("data: {")) {
        text.append(
            JSON.readTree(line.substring(6))
                .path("choices")
                .path(0)
                .path("delta")
                .path("content")
                .asText(""));
      }
    }
    assertThat(text.toString()).isEqualTo(EmulatedText.answer(body));
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
  }

  @Test
  void plainCompletionReturnsText() throws Exception {
    HttpResponse<String> response =
        fleet.postJson(
            0, "/v1/completions", "{\"model\":\"souq-lm\",\"prompt\":\"once\",\"max_tokens\":4}");
    assertThat(response.statusCode()).isEqualTo(200);
    JsonNode answer = JSON.readTree(response.body());
    assertThat(answer.path("object").asText()).isEqualTo("text_completion");
    assertThat(answer.path("choices").path(0).path("text").asText()).isNotEmpty();
  }

  @Test
  void modelsAreListed() throws Exception {
    JsonNode list = JSON.readTree(fleet.get(0, "/v1/models").body());
    assertThat(list.path("data").path(0).path("id").asText()).isEqualTo("souq-lm");
    assertThat(fleet.get(0, "/v1/models/other").statusCode()).isEqualTo(404);
  }

  @Test
  void wrongInputGetsTypedErrors() throws Exception {
    assertError(fleet.postJson(0, CHAT, "{\"model\":"), 400, "invalid_json");
    assertError(fleet.postJson(0, CHAT, "[]"), 400, "invalid_json");
    assertError(fleet.postJson(0, CHAT, "{\"model\":\"souq-lm\"}"), 400, "invalid_value");
    ObjectNode unknown = chat("x", false).put("model", "other-lm");
    assertError(fleet.postJson(0, CHAT, unknown.toString()), 404, "model_not_found");
    assertError(fleet.postJson(0, "/v1/other", "{}"), 404, "not_found");
    assertError(fleet.get(0, CHAT), 405, "method_not_allowed");
    String large = chat("x".repeat(100_000), false).toString();
    assertError(fleet.postJson(0, CHAT, large), 413, "request_too_large");
    assertError(fleet.get(0, "/v1/batches/batch_01-0000000000000000"), 404, "batch_not_found");
  }

  private static void assertError(HttpResponse<String> response, int status, String code)
      throws Exception {
    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(error(response).path("code").asText()).isEqualTo(code);
    assertThat(error(response).path("not_run").asBoolean()).isTrue();
  }

  @Test
  void wrongKeyIsRefused() throws Exception {
    HttpRequest.Builder request =
        fleet.request(0, "/v1/models").setHeader("Authorization", "Bearer other").GET();
    assertError(fleet.send(request), 401, "invalid_api_key");
  }

  @Test
  void resentNonRepeatableRequestIsAnsweredFromItsClaim() throws Exception {
    ObjectNode body = chat("pay refund 77", false);
    HttpResponse<String> first = fleet.send(unrepeatable(0, "refund-77", body));
    HttpResponse<String> second = fleet.send(unrepeatable(1, "refund-77", body));
    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(second.statusCode()).isEqualTo(200);
    assertThat(second.body()).isEqualTo(first.body());
    ObjectNode other = chat("pay refund 78", false);
    assertError(fleet.send(unrepeatable(1, "refund-77", other)), 409, "idempotency_key_reused");
  }

  private static HttpRequest.Builder unrepeatable(int node, String key, ObjectNode body) {
    return fleet
        .request(node, CHAT)
        .header("Idempotency-Key", key)
        .header("X-Pathdeck-Repeatable", "false")
        .POST(HttpRequest.BodyPublishers.ofString(body.toString()));
  }

  @Test
  void vanishedCallerLeavesTheNodeServing() throws Exception {
    byte[] body = chat("left alone", true).toString().getBytes(StandardCharsets.UTF_8);
    String head =
        "POST "
            + CHAT
            + " HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer "
            + InProcessFleet.KEY
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    for (int i = 0; i < 20; i++) {
      try (Socket socket = new Socket(fleet.node(0).host(), fleet.node(0).port())) {
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(body, 0, i % 2 == 0 ? body.length : body.length / 2);
        out.flush();
      }
    }
    assertThat(fleet.postJson(0, CHAT, chat("still here", false).toString()).statusCode())
        .isEqualTo(200);
  }

  @Test
  void jobRunsAndItsResultsAreReadThroughTheOtherNode() throws Exception {
    int items = 200;
    String fileId = upload(0, "cards", items);
    String job = submit(0, "job-cards", fileId);
    assertThat(submit(1, "job-cards", fileId)).as("a resent job is the same job").isEqualTo(job);
    JsonNode ended = awaitEnd(1, job);
    assertThat(ended.path("status").asText()).isEqualTo("completed");
    assertThat(ended.path("request_counts").path("completed").asInt()).isEqualTo(items);
    String results =
        fleet.get(1, "/v1/files/" + ended.path("output_file_id").asText() + "/content").body();
    Set<String> seen = new HashSet<>();
    for (String line : results.strip().split("\n", -1)) {
      JsonNode result = JSON.readTree(line);
      String customId = result.path("custom_id").asText();
      assertThat(seen.add(customId)).as(customId).isTrue();
      assertThat(content(result.path("response").path("body")))
          .isEqualTo(EmulatedText.answer(chat(customId, false)));
    }
    assertThat(seen).hasSize(items);
  }

  @Test
  void cancelledJobStops() throws Exception {
    String fileId = upload(0, "long", 2_000);
    String job = submit(0, "job-long", fileId);
    HttpResponse<String> cancelled = fleet.postJson(1, "/v1/batches/" + job + "/cancel", "");
    assertThat(cancelled.statusCode()).isEqualTo(200);
    JsonNode ended = awaitEnd(0, job);
    assertThat(ended.path("status").asText()).isEqualTo("cancelled");
    assertThat(ended.path("request_counts").path("completed").asInt()).isLessThan(2_000);
    assertThat(fleet.get(0, "/v1/batches?limit=5").body()).contains(job);
  }

  private static String upload(int node, String name, int items) throws Exception {
    StringBuilder lines = new StringBuilder();
    for (int item = 0; item < items; item++) {
      String customId = name + "-" + item;
      ObjectNode line = JSON.createObjectNode();
      line.put("custom_id", customId).put("method", "POST").put("url", CHAT);
      line.set("body", chat(customId, false));
      lines.append(line).append('\n');
    }
    String boundary = "part-boundary";
    String form =
        "--"
            + boundary
            + "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--"
            + boundary
            + "\r\nContent-Disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n"
            + "Content-Type: application/jsonl\r\n\r\n"
            + lines
            + "\r\n--"
            + boundary
            + "--\r\n";
    HttpResponse<String> response =
        fleet.send(
            fleet
                .request(node, "/v1/files")
                .header("Content-Type", "multipart/form-data; boundary=" + boundary)
                .POST(HttpRequest.BodyPublishers.ofString(form)));
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    return JSON.readTree(response.body()).path("id").asText();
  }

  private static String submit(int node, String key, String fileId) throws Exception {
    ObjectNode body = JSON.createObjectNode();
    body.put("input_file_id", fileId).put("endpoint", CHAT).put("completion_window", "24h");
    HttpResponse<String> response =
        fleet.send(
            fleet
                .request(node, "/v1/batches")
                .header("Content-Type", "application/json")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body.toString())));
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    return JSON.readTree(response.body()).path("id").asText();
  }

  private static JsonNode awaitEnd(int node, String job) throws Exception {
    while (true) {
      JsonNode view = JSON.readTree(fleet.get(node, "/v1/batches/" + job).body());
      String status = view.path("status").asText();
      if (!status.equals("in_progress") && !status.equals("cancelling")) {
        return view;
      }
      Thread.sleep(50);
    }
  }
}
