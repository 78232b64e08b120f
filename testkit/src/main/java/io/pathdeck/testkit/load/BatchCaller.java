package io.pathdeck.testkit.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.EmulatedText;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.asynchttpclient.request.body.multipart.ByteArrayPart;
import org.asynchttpclient.request.body.multipart.StringPart;

/** Submits one batch job on one node and reads its results back from another. */
final class BatchCaller implements Runnable {
  private static final int OK = 200;
  private static final long POLL_MS = 200;
  private static final int MAX_TRIES = 20;

  private final AsyncHttpClient client;
  private final String submitUrl;
  private final String readUrl;
  private final String key;
  private final String model;
  private final LoadPlan.Job job;
  private final long deadlineNs;
  private final LoadStatistics statistics;
  private final Map<String, ObjectNode> expected = new HashMap<>();

  BatchCaller(
      AsyncHttpClient client,
      String submitUrl,
      String readUrl,
      String key,
      String model,
      LoadPlan.Job job,
      long deadlineNs,
      LoadStatistics statistics) {
    this.client = client;
    this.submitUrl = submitUrl;
    this.readUrl = readUrl;
    this.key = key;
    this.model = model;
    this.job = job;
    this.deadlineNs = deadlineNs;
    this.statistics = statistics;
  }

  @Override
  public void run() {
    try {
      String fileId = upload();
      String jobId = submit(fileId);
      statistics.onItemsAccepted(job.items());
      String outputId = awaitEnd(jobId);
      checkResults(outputId);
    } catch (BatchException e) {
      statistics.onJobFailed("job " + job.number() + ": " + e.getMessage());
    }
  }

  /** A job that did not go as it should. */
  private static final class BatchException extends Exception {
    private static final long serialVersionUID = 1L;

    BatchException(String message) {
      super(message);
    }
  }

  private interface Call {
    Response run() throws Exception;
  }

  /** Calls until the answer is not a refusal; every call here may be repeated. */
  private Response call(Call call) throws BatchException {
    String last = "";
    for (int attempt = 0; attempt < MAX_TRIES && System.nanoTime() < deadlineNs; attempt++) {
      try {
        Response response = call.run();
        if (response.getStatusCode() == OK) {
          return response;
        }
        last = response.getStatusCode() + " " + response.getResponseBody();
        if (response.getStatusCode() < 429) {
          break;
        }
        pause();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new BatchException("interrupted");
      } catch (Exception e) {
        last = String.valueOf(e);
        pause();
      }
    }
    throw new BatchException(last);
  }

  private static void pause() throws BatchException {
    try {
      Thread.sleep(POLL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BatchException("interrupted");
    }
  }

  private String upload() throws BatchException {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    for (int item = 0; item < job.items(); item++) {
      String customId = "job-" + job.number() + "-item-" + item;
      ObjectNode body =
          Prompts.chat(model, 1_000 + job.number(), customId, 96, job.answerTokens(), false);
      expected.put(customId, body);
      lines.writeBytes(Json.encode(Prompts.batchLine(customId, body)));
      lines.write('\n');
    }
    Response response =
        call(
            () ->
                client
                    .preparePost(submitUrl + "/v1/files")
                    .setHeader("authorization", "Bearer " + key)
                    .setHeader("idempotency-key", "file-" + job.number())
                    .addBodyPart(new StringPart("purpose", "batch"))
                    .addBodyPart(
                        new ByteArrayPart(
                            "file",
                            lines.toByteArray(),
                            "application/jsonl",
                            StandardCharsets.UTF_8,
                            "input.jsonl"))
                    .execute()
                    .get());
    return field(response, "id");
  }

  private String submit(String fileId) throws BatchException {
    ObjectNode body = Json.object();
    body.put("input_file_id", fileId);
    body.put("endpoint", "/v1/chat/completions");
    body.put("completion_window", "24h");
    Response response =
        call(
            () ->
                client
                    .preparePost(submitUrl + "/v1/batches")
                    .setHeader("authorization", "Bearer " + key)
                    .setHeader("idempotency-key", "job-" + job.number())
                    .setHeader("content-type", "application/json")
                    .setBody(Json.encode(body))
                    .execute()
                    .get());
    return field(response, "id");
  }

  private String awaitEnd(String jobId) throws BatchException {
    while (System.nanoTime() < deadlineNs) {
      Response response = get("/v1/batches/" + jobId);
      String status = field(response, "status");
      if (status.equals("completed")) {
        return field(response, "output_file_id");
      }
      if (!status.equals("in_progress")) {
        throw new BatchException("status " + status);
      }
      pause();
    }
    throw new BatchException("not completed in time");
  }

  private Response get(String path) throws BatchException {
    return call(
        () ->
            client
                .prepareGet(readUrl + path)
                .setHeader("authorization", "Bearer " + key)
                .execute()
                .get());
  }

  private static String field(Response response, String name) {
    return Json.parseObject(response.getResponseBodyAsBytes())
        .orElse(Json.object())
        .path(name)
        .asText();
  }

  private void checkResults(String outputId) throws BatchException {
    String content = get("/v1/files/" + outputId + "/content").getResponseBody();
    Map<String, Integer> seen = new HashMap<>();
    for (String line : content.split("\n", -1)) {
      if (!line.isEmpty()) {
        checkLine(line, seen);
      }
    }
    for (String customId : expected.keySet()) {
      if (!seen.containsKey(customId)) {
        statistics.onItemWrong(customId + " is missing");
      }
    }
  }

  private void checkLine(String line, Map<String, Integer> seen) {
    ObjectNode result =
        Json.parseObject(line.getBytes(StandardCharsets.UTF_8)).orElse(Json.object());
    String customId = result.path("custom_id").asText();
    ObjectNode request = expected.get(customId);
    String text = EmulatedText.ofResult(result);
    boolean first = seen.merge(customId, 1, Integer::sum) == 1;
    if (request == null || !first) {
      statistics.onItemWrong(customId + " is unknown or doubled");
    } else if (!text.equals(EmulatedText.answer(request))) {
      statistics.onItemWrong(customId + " differs from the expected answer");
    } else {
      statistics.onItemRight();
    }
  }
}
