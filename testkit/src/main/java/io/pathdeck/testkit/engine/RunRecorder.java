package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The engine's own record of what it ran: the witness for the promises, independent of the system.
 * With a file, the record outlives a killed engine.
 */
final class RunRecorder {
  private final ByteArrayOutputStream memory = new ByteArrayOutputStream();
  private final OutputStream file;

  RunRecorder(Path path) {
    try {
      this.file =
          path == null
              ? OutputStream.nullOutputStream()
              : Files.newOutputStream(path, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized void record(String event, Sequence sequence, String prompt) {
    ObjectNode line = Json.object();
    line.put("at_ms", System.currentTimeMillis());
    line.put("event", event);
    line.put("request", sequence.requestId);
    line.put("priority", sequence.priority.headerValue());
    line.put("offset", sequence.nextOffset);
    line.put("prompt", Long.toHexString(io.pathdeck.state.PartitionIds.hash(prompt)));
    byte[] bytes = Json.encode(line);
    try {
      memory.writeBytes(bytes);
      memory.write('\n');
      file.write(bytes);
      file.write('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized byte[] toBytes() {
    return memory.toByteArray();
  }
}
