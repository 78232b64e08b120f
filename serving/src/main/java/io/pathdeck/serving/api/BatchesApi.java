package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.KeyReserved;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.ReserveKey;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.query.JobListResult;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.LinesResult;
import io.pathdeck.protocol.query.ListJobs;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadFileLines;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.Json;
import io.pathdeck.state.PartitionIds;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/** Handles {@code /v1/batches}. */
final class BatchesApi {
  private static final int OK = 200;
  private static final long TIMEOUT_MS = 15_000;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int DEFAULT_LIMIT = 20;
  private static final int MAX_LIMIT = 100;
  private static final int MAX_METADATA_ENTRIES = 16;

  private final ControlPlane controllers;

  BatchesApi(ControlPlane controllers) {
    this.controllers = controllers;
  }

  // ---- create

  void create(CallerContext caller) {
    HttpExchange exchange = caller.exchange();
    Result<String, ApiError> key = RequestHeaders.idempotencyKey(exchange.headers());
    Result<Boolean, ApiError> repeatable = RequestHeaders.repeatable(exchange.headers());
    Result<BatchRequest, ApiError> request = BatchRequest.parse(exchange.body());
    if (!key.isOk() || !repeatable.isOk() || !request.isOk()) {
      ApiError error =
          !key.isOk() ? key.error() : !repeatable.isOk() ? repeatable.error() : request.error();
      exchange.sendError(error);
      return;
    }
    BatchCreation creation = new BatchCreation(caller, request.value(), repeatable.value());
    if (key.value() == null) {
      creation.submit(request.value().inputFileId(), creation.newJobId());
    } else {
      creation.reserve(key.value());
    }
  }

  /** The validated body of a request to create a batch. */
  private record BatchRequest(
      String inputFileId, String endpoint, long windowMs, Map<String, String> metadata) {

    static Result<BatchRequest, ApiError> parse(byte[] body) {
      Optional<ObjectNode> parsed = Json.parseObject(body);
      if (parsed.isEmpty()) {
        return Result.err(ApiError.invalid("invalid_json", "the body is not a JSON object"));
      }
      ObjectNode object = parsed.get();
      String endpoint = object.path("endpoint").asText();
      String fileId = object.path("input_file_id").asText();
      Optional<Long> window =
          CompletionWindow.parseMs(object.path("completion_window").asText("24h"));
      if (fileId.isEmpty()) {
        return invalid("input_file_id", "the id of an uploaded file");
      }
      if (!GenerationRequest.isGenerationPath(endpoint)) {
        return invalid(
            "endpoint", GenerationRequest.CHAT_PATH + " or " + GenerationRequest.COMPLETIONS_PATH);
      }
      if (window.isEmpty()) {
        return invalid("completion_window", "a time such as 24h, from 1s to 168h");
      }
      Map<String, String> metadata = new HashMap<>();
      JsonNode entries = object.path("metadata");
      if (!entries.isMissingNode() && !entries.isNull() && !entries.isObject()) {
        return invalid("metadata", "an object of texts");
      }
      entries.properties().forEach(e -> metadata.put(e.getKey(), e.getValue().asText()));
      if (metadata.size() > MAX_METADATA_ENTRIES) {
        return invalid("metadata", "at most " + MAX_METADATA_ENTRIES + " entries");
      }
      return Result.ok(new BatchRequest(fileId, endpoint, window.get(), metadata));
    }

    private static Result<BatchRequest, ApiError> invalid(String field, String expected) {
      return Result.err(ApiError.invalid("invalid_value", field + ": expected " + expected));
    }

    String fingerprint() {
      return Long.toHexString(PartitionIds.hash(endpoint + "|" + windowMs + "|" + metadata));
    }
  }

  /** Creates a batch, from the reservation of its idempotency key to the accepted job. */
  private final class BatchCreation {
    private final CallerContext caller;
    private final HttpExchange exchange;
    private final BatchRequest request;
    private final boolean repeatable;

    BatchCreation(CallerContext caller, BatchRequest request, boolean repeatable) {
      this.caller = caller;
      this.exchange = caller.exchange();
      this.request = request;
      this.repeatable = repeatable;
    }

    private Optional<Integer> partitionOf(String id) {
      return PartitionIds.partitionOf(id, caller.configuration().partitions());
    }

    /** Creates a job ID in the partition of the input file. */
    String newJobId() {
      UUID random = UUID.randomUUID();
      int partition = partitionOf(request.inputFileId()).orElse(1);
      return PartitionIds.create(
          BatchFileId.JOB_PREFIX,
          partition,
          random.getMostSignificantBits(),
          random.getLeastSignificantBits());
    }

    /** Binds the key to the job, so a resend gets the same job even with another input file. */
    void reserve(String key) {
      String tenant = caller.tenant().name();
      int partition =
          PartitionIds.partitionForKey(tenant + "/" + key, caller.configuration().partitions());
      String value = newJobId() + " " + request.inputFileId();
      ReserveKey command = new ReserveKey(tenant, key, request.fingerprint(), value);
      controllers.propose(partition, command, TIMEOUT_MS).thenAccept(this::onReserved);
    }

    private void onReserved(Result<CommandResult, ControlError> result) {
      if (!result.isOk()) {
        exchange.sendError(ApiErrors.of(result.error()));
        return;
      }
      KeyReserved reserved = (KeyReserved) result.value();
      if (!reserved.fingerprint().equals(request.fingerprint())) {
        exchange.sendError(
            ApiError.conflict(
                "idempotency_key_reused", "the key was used with another request", true));
        return;
      }
      int space = reserved.value().indexOf(' ');
      submit(reserved.value().substring(space + 1), reserved.value().substring(0, space));
    }

    void submit(String fileId, String jobId) {
      Optional<Integer> partition = partitionOf(fileId);
      if (partition.isEmpty()) {
        exchange.sendError(fileNotFound(fileId));
        return;
      }
      ReadFileLines firstLine = new ReadFileLines(fileId, caller.tenant().name(), 0, 1);
      controllers
          .query(partition.get(), firstLine, TIMEOUT_MS)
          .thenAccept(result -> onFirstLine(fileId, jobId, partition.get(), result));
    }

    private void onFirstLine(
        String fileId, String jobId, int partition, Result<QueryResult, ControlError> result) {
      if (!result.isOk()) {
        exchange.sendError(ApiErrors.of(result.error()));
        return;
      }
      if (!(result.value() instanceof LinesResult lines) || lines.lines().isEmpty()) {
        exchange.sendError(fileNotFound(fileId));
        return;
      }
      JsonNode item = Json.parseObject(lines.lines().get(0)).orElse(Json.object());
      String model = item.path("body").path("model").asText();
      Optional<ServiceSpec> service = caller.configuration().serviceByModel(model);
      if (service.isEmpty()) {
        exchange.sendError(ApiError.notFound("model_not_found", "no model " + model));
        return;
      }
      JobSpec spec =
          new JobSpec(
              jobId,
              caller.tenant().name(),
              service.get().name(),
              request.endpoint(),
              fileId,
              repeatable,
              request.windowMs(),
              request.metadata());
      controllers
          .propose(partition, new SubmitJob(spec), TIMEOUT_MS)
          .thenAccept(submitted -> sendJob(exchange, submitted));
    }
  }

  private static ApiError fileNotFound(String fileId) {
    return ApiError.notFound("file_not_found", "no file " + fileId);
  }

  private static void sendJob(HttpExchange exchange, Result<CommandResult, ControlError> result) {
    if (!result.isOk()) {
      exchange.sendError(ApiErrors.of(result.error()));
    } else if (result.value() instanceof JobAccepted accepted) {
      exchange.sendJson(OK, Json.encode(toJson(accepted.job())));
    } else if (result.value() instanceof Rejected rejected) {
      boolean missing = rejected.code() == RejectionCode.NOT_FOUND;
      exchange.sendError(
          missing
              ? ApiError.notFound("not_found", rejected.message())
              : ApiError.invalid("rejected", rejected.message()));
    }
  }

  // ---- get, list, cancel

  void get(CallerContext caller, String jobId) {
    HttpExchange exchange = caller.exchange();
    Optional<Integer> partition =
        PartitionIds.partitionOf(jobId, caller.configuration().partitions());
    if (partition.isEmpty()) {
      exchange.sendError(batchNotFound(jobId));
      return;
    }
    controllers
        .query(partition.get(), new ReadJob(jobId, caller.tenant().name()), TIMEOUT_MS)
        .thenAccept(
            result -> {
              if (!result.isOk()) {
                exchange.sendError(ApiErrors.of(result.error()));
              } else if (result.value() instanceof JobResult job) {
                exchange.sendJson(OK, Json.encode(toJson(job.job())));
              } else {
                exchange.sendError(batchNotFound(jobId));
              }
            });
  }

  private static ApiError batchNotFound(String jobId) {
    return ApiError.notFound("batch_not_found", "no batch " + jobId);
  }

  void cancel(CallerContext caller, String jobId) {
    Optional<Integer> partition =
        PartitionIds.partitionOf(jobId, caller.configuration().partitions());
    if (partition.isEmpty()) {
      caller.exchange().sendError(batchNotFound(jobId));
      return;
    }
    controllers
        .propose(partition.get(), new CancelJob(jobId, caller.tenant().name()), TIMEOUT_MS)
        .thenAccept(result -> sendJob(caller.exchange(), result));
  }

  void list(CallerContext caller) {
    HttpExchange exchange = caller.exchange();
    int limit = parseLimit(exchange.queryParameter("limit"));
    if (limit < 1) {
      exchange.sendError(
          ApiError.invalid("invalid_value", "limit: expected an integer from 1 to " + MAX_LIMIT));
      return;
    }
    int partitions = caller.configuration().partitions();
    List<CompletableFuture<Result<QueryResult, ControlError>>> pages = new ArrayList<>();
    for (int partition = 1; partition <= partitions; partition++) {
      ListJobs query = new ListJobs(caller.tenant().name(), "", Integer.MAX_VALUE);
      pages.add(controllers.query(partition, query, TIMEOUT_MS));
    }
    String after = exchange.queryParameter("after");
    CompletableFuture.allOf(pages.toArray(new CompletableFuture<?>[0]))
        .thenRun(
            () -> {
              List<Result<QueryResult, ControlError>> results =
                  pages.stream().map(CompletableFuture::join).toList();
              sendList(exchange, results, after, limit);
            });
  }

  private static int parseLimit(String text) {
    if (text == null) {
      return DEFAULT_LIMIT;
    }
    try {
      int limit = Integer.parseInt(text);
      return limit <= MAX_LIMIT ? limit : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static void sendList(
      HttpExchange exchange,
      List<Result<QueryResult, ControlError>> results,
      String after,
      int limit) {
    List<JobView> jobs = new ArrayList<>();
    for (Result<QueryResult, ControlError> result : results) {
      if (!result.isOk()) {
        exchange.sendError(ApiErrors.of(result.error()));
        return;
      }
      jobs.addAll(((JobListResult) result.value()).jobs());
    }
    jobs.sort(
        Comparator.comparingLong(JobView::createdAtMs)
            .reversed()
            .thenComparing(job -> job.spec().jobId()));
    int start = after == null ? 0 : positionAfter(jobs, after);
    List<JobView> page = jobs.stream().skip(start).limit(limit).toList();
    ObjectNode json = Json.object();
    json.put("object", "list");
    ArrayNode data = json.putArray("data");
    page.forEach(job -> data.add(toJson(job)));
    json.put("first_id", page.isEmpty() ? null : page.get(0).spec().jobId());
    json.put("last_id", page.isEmpty() ? null : page.get(page.size() - 1).spec().jobId());
    json.put("has_more", start + page.size() < jobs.size());
    exchange.sendJson(OK, Json.encode(json));
  }

  private static int positionAfter(List<JobView> jobs, String after) {
    for (int i = 0; i < jobs.size(); i++) {
      if (jobs.get(i).spec().jobId().equals(after)) {
        return i + 1;
      }
    }
    return 0;
  }

  private static ObjectNode toJson(JobView job) {
    JobSpec spec = job.spec();
    ObjectNode json = Json.object();
    json.put("id", spec.jobId());
    json.put("object", "batch");
    json.put("endpoint", spec.endpoint());
    json.putNull("errors");
    json.put("input_file_id", spec.fileId());
    json.put("completion_window", CompletionWindow.format(spec.completionWindowMs()));
    json.put("status", statusName(job.status()));
    json.put("output_file_id", job.succeeded() > 0 ? BatchFileId.outputOf(spec.jobId()) : null);
    json.put("error_file_id", job.failed() > 0 ? BatchFileId.errorsOf(spec.jobId()) : null);
    json.put("created_at", job.createdAtMs() / MILLIS_PER_SECOND);
    json.put("in_progress_at", job.createdAtMs() / MILLIS_PER_SECOND);
    json.put("expires_at", (job.createdAtMs() + spec.completionWindowMs()) / MILLIS_PER_SECOND);
    putFinishedAt(json, "completed_at", job, JobStatus.COMPLETED);
    putFinishedAt(json, "cancelled_at", job, JobStatus.CANCELLED);
    putFinishedAt(json, "expired_at", job, JobStatus.EXPIRED);
    ObjectNode counts = json.putObject("request_counts");
    counts.put("total", job.total());
    counts.put("completed", job.succeeded());
    counts.put("failed", job.failed());
    ObjectNode metadata = json.putObject("metadata");
    spec.metadata().forEach(metadata::put);
    return json;
  }

  private static void putFinishedAt(ObjectNode json, String field, JobView job, JobStatus status) {
    if (job.status() == status) {
      json.put(field, job.finishedAtMs() / MILLIS_PER_SECOND);
    } else {
      json.putNull(field);
    }
  }

  private static String statusName(JobStatus status) {
    return switch (status) {
      case IN_PROGRESS -> "in_progress";
      case COMPLETED -> "completed";
      case CANCELLED -> "cancelled";
      case EXPIRED -> "expired";
    };
  }
}
