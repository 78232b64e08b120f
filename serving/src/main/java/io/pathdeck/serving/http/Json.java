package io.pathdeck.serving.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** JSON parser and encoder with limits for untrusted input. */
public final class Json {
  private static final int MAX_NESTING = 64;
  private static final int MAX_STRING_LENGTH = 16 * 1024 * 1024;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_NESTING)
                          .maxStringLength(MAX_STRING_LENGTH)
                          .build())
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Creates an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Parses an object; empty if the bytes are not a JSON object. */
  public static Optional<ObjectNode> parseObject(byte[] bytes) {
    return parseObject(bytes, 0, bytes.length);
  }

  /** Parses an object from part of an array; empty if that is not a JSON object. */
  public static Optional<ObjectNode> parseObject(byte[] bytes, int offset, int length) {
    try {
      JsonNode node = MAPPER.readTree(bytes, offset, length);
      return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Encodes a node. */
  public static byte[] encode(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
