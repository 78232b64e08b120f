package io.pathdeck.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The result line of an item that may have run and must not run again. */
final class OutcomeUnknownResult {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private OutcomeUnknownResult() {}

  static byte[] resultLine(Job job, int index) {
    ObjectNode result = MAPPER.createObjectNode();
    result.put("id", job.spec().jobId() + "-" + index);
    result.set("custom_id", customId(job.itemLine(index)));
    result.putNull("response");
    result
        .putObject("error")
        .put("code", "outcome_unknown")
        .put("message", "the item may have run and is not repeated");
    try {
      return MAPPER.writeValueAsBytes(result);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode customId(byte[] itemLine) {
    try {
      return MAPPER.readTree(itemLine).path("custom_id");
    } catch (IOException e) {
      // Lines are checked when they are uploaded; one that is not JSON has no id to return.
      return MAPPER.nullNode();
    }
  }
}
