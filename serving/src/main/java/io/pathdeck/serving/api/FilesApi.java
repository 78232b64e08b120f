package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.AppendFileChunk;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CreateFile;
import io.pathdeck.protocol.command.FileStored;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.SealFile;
import io.pathdeck.protocol.model.FileView;
import io.pathdeck.protocol.query.FileResult;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.LinesResult;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadFile;
import io.pathdeck.protocol.query.ReadFileLines;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.protocol.query.ReadResults;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.Json;
import io.pathdeck.state.PartitionIds;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Handles {@code /v1/files}: uploads, metadata and downloads. */
final class FilesApi {
  static final String PURPOSE_BATCH = "batch";
  static final String FILE_PREFIX = "file-";
  private static final int OK = 200;
  private static final int CHUNK_BYTES = 512 * 1024;
  private static final int READ_BYTES = 1024 * 1024;
  private static final long TIMEOUT_MS = 15_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ControlPlane controllers;

  FilesApi(ControlPlane controllers) {
    this.controllers = controllers;
  }

  // ---- upload

  void upload(CallerContext caller) {
    HttpExchange exchange = caller.exchange();
    Result<String, ApiError> key = RequestHeaders.idempotencyKey(exchange.headers());
    Result<MultipartUpload, ApiError> upload = MultipartUpload.decode(exchange);
    if (!key.isOk() || !upload.isOk()) {
      exchange.sendError(key.isOk() ? upload.error() : key.error());
      return;
    }
    List<byte[]> lines = UploadedLines.split(upload.value().content());
    if (upload.value().purpose().equals(PURPOSE_BATCH)) {
      Result<List<byte[]>, ApiError> checked = UploadedLines.checkBatchInput(lines);
      if (!checked.isOk()) {
        exchange.sendError(checked.error());
        return;
      }
    }
    new UploadTask(caller, upload.value(), lines, fileId(caller, key.value())).start();
  }

  /** Returns a file ID; uploads with the same idempotency key get the same ID. */
  private static String fileId(CallerContext caller, String idempotencyKey) {
    int partitions = caller.configuration().partitions();
    if (idempotencyKey == null) {
      UUID random = UUID.randomUUID();
      int partition = PartitionIds.partitionForKey(random.toString(), partitions);
      return PartitionIds.create(
          FILE_PREFIX,
          partition,
          random.getMostSignificantBits(),
          random.getLeastSignificantBits());
    }
    String key = caller.tenant().name() + "/" + idempotencyKey;
    int partition = PartitionIds.partitionForKey(key, partitions);
    return PartitionIds.create(
        FILE_PREFIX, partition, PartitionIds.hash(key), PartitionIds.hash("file/" + key));
  }

  /** Replicates an upload in chunks, one at a time. */
  private final class UploadTask {
    private final HttpExchange exchange;
    private final String fileId;
    private final int partition;
    private final List<Command> commands = new ArrayList<>();

    UploadTask(CallerContext caller, MultipartUpload upload, List<byte[]> lines, String fileId) {
      this.exchange = caller.exchange();
      this.fileId = fileId;
      this.partition =
          PartitionIds.partitionOf(fileId, caller.configuration().partitions()).orElseThrow();
      commands.add(
          new CreateFile(fileId, caller.tenant().name(), upload.filename(), upload.purpose()));
      addChunks(lines);
    }

    private void addChunks(List<byte[]> lines) {
      List<byte[]> chunk = new ArrayList<>();
      int bytes = 0;
      int index = 0;
      for (byte[] line : lines) {
        chunk.add(line);
        bytes += line.length;
        if (bytes >= CHUNK_BYTES) {
          commands.add(new AppendFileChunk(fileId, index++, chunk));
          chunk = new ArrayList<>();
          bytes = 0;
        }
      }
      if (!chunk.isEmpty()) {
        commands.add(new AppendFileChunk(fileId, index++, chunk));
      }
      commands.add(new SealFile(fileId, index));
    }

    void start() {
      propose(0);
    }

    private void propose(int position) {
      controllers
          .propose(partition, commands.get(position), TIMEOUT_MS)
          .thenAccept(result -> onResult(position, result));
    }

    private void onResult(int position, Result<CommandResult, ControlError> result) {
      if (!result.isOk()) {
        exchange.sendError(ApiErrors.of(result.error()));
      } else if (result.value() instanceof Rejected rejected) {
        exchange.sendError(ApiError.conflict("rejected", rejected.message(), true));
      } else if (position + 1 < commands.size()) {
        propose(position + 1);
      } else if (result.value() instanceof FileStored stored) {
        exchange.sendJson(OK, Json.encode(toJson(stored.file())));
      }
    }
  }

  private static ObjectNode toJson(FileView file) {
    ObjectNode json = Json.object();
    json.put("id", file.fileId());
    json.put("object", "file");
    json.put("bytes", file.bytes());
    json.put("created_at", file.createdAtMs() / MILLIS_PER_SECOND);
    json.put("filename", file.filename());
    json.put("purpose", file.purpose());
    json.put("status", file.sealed() ? "processed" : "uploaded");
    return json;
  }

  // ---- metadata and download

  void get(CallerContext caller, String fileId) {
    HttpExchange exchange = caller.exchange();
    Optional<Integer> partition =
        PartitionIds.partitionOf(fileId, caller.configuration().partitions());
    Optional<BatchFileId> batchFile = BatchFileId.parse(fileId);
    if (partition.isEmpty()) {
      exchange.sendError(fileNotFound(fileId));
      return;
    }
    Query query =
        batchFile.isPresent()
            ? new ReadJob(batchFile.get().jobId(), caller.tenant().name())
            : new ReadFile(fileId, caller.tenant().name());
    controllers
        .query(partition.get(), query, TIMEOUT_MS)
        .thenAccept(result -> sendFile(exchange, fileId, result));
  }

  private static void sendFile(
      HttpExchange exchange, String fileId, Result<QueryResult, ControlError> result) {
    if (!result.isOk()) {
      exchange.sendError(ApiErrors.of(result.error()));
    } else if (result.value() instanceof FileResult file) {
      exchange.sendJson(OK, Json.encode(toJson(file.file())));
    } else if (result.value() instanceof JobResult job) {
      ObjectNode json = Json.object();
      json.put("id", fileId);
      json.put("object", "file");
      json.put("created_at", job.job().createdAtMs() / MILLIS_PER_SECOND);
      json.put("filename", fileId + ".jsonl");
      json.put("purpose", "batch_output");
      exchange.sendJson(OK, Json.encode(json));
    } else {
      exchange.sendError(fileNotFound(fileId));
    }
  }

  private static ApiError fileNotFound(String fileId) {
    return ApiError.notFound("file_not_found", "no file " + fileId);
  }

  void download(CallerContext caller, String fileId) {
    Optional<Integer> partition =
        PartitionIds.partitionOf(fileId, caller.configuration().partitions());
    if (partition.isEmpty()) {
      caller.exchange().sendError(fileNotFound(fileId));
      return;
    }
    new DownloadTask(caller, fileId, partition.get()).requestPage(0);
  }

  /** Sends a file in pages, each after the previous one has been sent. */
  private final class DownloadTask {
    private final HttpExchange exchange;
    private final String fileId;
    private final String tenant;
    private final int partition;
    private final Optional<BatchFileId> batchFile;

    DownloadTask(CallerContext caller, String fileId, int partition) {
      this.exchange = caller.exchange();
      this.fileId = fileId;
      this.tenant = caller.tenant().name();
      this.partition = partition;
      this.batchFile = BatchFileId.parse(fileId);
    }

    void requestPage(int from) {
      Query query =
          batchFile
              .<Query>map(
                  file -> new ReadResults(file.jobId(), tenant, file.errors(), from, READ_BYTES))
              .orElseGet(() -> new ReadFileLines(fileId, tenant, from, READ_BYTES));
      controllers.query(partition, query, TIMEOUT_MS).thenAccept(this::onPage);
    }

    private void onPage(Result<QueryResult, ControlError> result) {
      if (!result.isOk()) {
        failPage(ApiErrors.of(result.error()));
      } else if (result.value() instanceof LinesResult page) {
        sendPage(page);
      } else if (result.value() instanceof NotFound) {
        failPage(fileNotFound(fileId));
      }
    }

    /** Sends the error, or closes the connection if the response has already started. */
    private void failPage(ApiError error) {
      if (exchange.isStreaming()) {
        exchange.abort();
      } else {
        exchange.sendError(error);
      }
    }

    private void sendPage(LinesResult page) {
      if (exchange.isEnded()) {
        return;
      }
      if (!exchange.isStreaming()) {
        exchange.startStream("application/jsonl");
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (byte[] line : page.lines()) {
        bytes.writeBytes(line);
        bytes.write('\n');
      }
      if (bytes.size() > 0 && !exchange.write(bytes.toByteArray())) {
        exchange.abort();
      } else if (page.next() < 0) {
        exchange.endStream();
      } else {
        exchange.runAfterWrites(() -> requestPage(page.next()));
      }
    }
  }
}
