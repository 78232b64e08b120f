package io.pathdeck.common.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.pathdeck.common.result.Result;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Strict, typed access to one YAML settings file with command-line overrides.
 *
 * <p>Accessors record problems instead of throwing, so that one run reports every mistake. {@link
 * #finish} adds a problem for each key that no accessor asked for.
 */
public final class SettingsReader {
  private static final ObjectMapper MAPPER =
      new YAMLMapper(
          YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build());

  private final String source;
  private final ObjectNode root;
  private final Set<String> known = new HashSet<>();
  private final List<String> problems = new ArrayList<>();

  private SettingsReader(String source, ObjectNode root) {
    this.source = source;
    this.root = root;
  }

  /** Opens {@code file}; entries of {@code overrides} replace keys of the file. */
  public static Result<SettingsReader, SettingsError> open(
      Path file, Map<String, String> overrides) {
    try {
      return parse(file.toString(), Files.readString(file), overrides);
    } catch (IOException e) {
      return Result.err(new SettingsError(List.of(file + ": cannot be read: " + e)));
    }
  }

  /** Parses settings held in memory; {@code source} names them in messages. */
  public static Result<SettingsReader, SettingsError> parse(
      String source, String yaml, Map<String, String> overrides) {
    JsonNode tree;
    try {
      tree = MAPPER.readTree(yaml);
    } catch (JacksonException e) {
      String message = source + ": not valid YAML: " + e.getOriginalMessage();
      return Result.err(new SettingsError(List.of(message)));
    }
    if (tree == null || tree.isMissingNode() || tree.isNull()) {
      tree = JsonNodeFactory.instance.objectNode();
    }
    if (!(tree instanceof ObjectNode object)) {
      return Result.err(new SettingsError(List.of(source + ": expected a map of settings")));
    }
    overrides.forEach((key, value) -> object.set(key, parseScalar(value)));
    return Result.ok(new SettingsReader(source, object));
  }

  private static JsonNode parseScalar(String value) {
    try {
      JsonNode node = MAPPER.readTree(value);
      return node == null ? JsonNodeFactory.instance.textNode(value) : node;
    } catch (JacksonException e) {
      return JsonNodeFactory.instance.textNode(value);
    }
  }

  /** Whether the file has the key. */
  public boolean has(String key) {
    return root.has(key);
  }

  /** A required text. */
  public String string(String key) {
    return string(key, null);
  }

  /** A text, or {@code fallback} when the key is absent. */
  public String string(String key, String fallback) {
    JsonNode node = lookup(key);
    if (node == null) {
      return missing(key, "a text", fallback);
    }
    if (!node.isTextual() || node.asText().isBlank()) {
      return invalid(key, node, "a text", fallback);
    }
    return node.asText();
  }

  /** An integer between {@code min} and {@code max}, or {@code fallback} when absent. */
  public int integer(String key, Integer fallback, int min, int max) {
    JsonNode node = lookup(key);
    String expected = "an integer from " + min + " to " + max;
    Integer placeholder = fallback == null ? Integer.valueOf(min) : fallback;
    if (node == null) {
      return fallback == null ? missingValue(key, expected, placeholder) : fallback;
    }
    if (!node.isInt() || node.intValue() < min || node.intValue() > max) {
      return invalid(key, node, expected, placeholder);
    }
    return node.intValue();
  }

  /** A number between {@code min} and {@code max}, or {@code fallback} when absent. */
  public double decimal(String key, double fallback, double min, double max) {
    JsonNode node = lookup(key);
    if (node == null) {
      return fallback;
    }
    if (!node.isNumber() || node.doubleValue() < min || node.doubleValue() > max) {
      return invalid(key, node, "a number from " + min + " to " + max, fallback);
    }
    return node.doubleValue();
  }

  /** A boolean, or {@code fallback} when absent. */
  public boolean bool(String key, boolean fallback) {
    JsonNode node = lookup(key);
    if (node == null) {
      return fallback;
    }
    if (!node.isBoolean()) {
      return invalid(key, node, "true or false", fallback);
    }
    return node.booleanValue();
  }

  /** A required network address of the form {@code host:port}. */
  public HostPort address(String key) {
    return parsed(key, "host:port", HostPort::parse, new HostPort("127.0.0.1", 0));
  }

  /** A file system path, or {@code null} when the key is absent and not required. */
  public Path optionalPath(String key) {
    JsonNode node = lookup(key);
    return node == null ? null : Path.of(node.asText());
  }

  /** A required path. */
  public Path path(String key) {
    String text = string(key, null);
    return Path.of(text == null ? "." : text);
  }

  /** A required list of addresses. */
  public List<HostPort> addresses(String key) {
    JsonNode node = lookup(key);
    List<HostPort> addresses = new ArrayList<>();
    String expected = "a list of host:port";
    if (node == null) {
      return missingValue(key, expected, addresses);
    }
    if (!node.isArray() || node.isEmpty()) {
      return invalid(key, node, expected, addresses);
    }
    for (JsonNode element : node) {
      Optional<HostPort> address = HostPort.parse(element.asText());
      if (address.isEmpty()) {
        return invalid(key, element, expected, addresses);
      }
      addresses.add(address.get());
    }
    return addresses;
  }

  /** A map of texts; empty when the key is absent or has no value. */
  public Map<String, String> textMap(String key) {
    JsonNode node = lookup(key);
    Map<String, String> entries = new LinkedHashMap<>();
    boolean isEmpty = node == null || (node.isTextual() && node.asText().isBlank());
    if (isEmpty) {
      return entries;
    }
    if (!node.isObject()) {
      return invalid(key, node, "a map of texts", entries);
    }
    node.properties().forEach(entry -> entries.put(entry.getKey(), entry.getValue().asText()));
    return entries;
  }

  private <T> T parsed(
      String key, String expected, Function<String, Optional<T>> parser, T placeholder) {
    JsonNode node = lookup(key);
    if (node == null) {
      return missingValue(key, expected, placeholder);
    }
    return parser.apply(node.asText()).orElseGet(() -> invalid(key, node, expected, placeholder));
  }

  /** Adds a problem found by a check that spans several keys. */
  public void problem(String key, String message) {
    problems.add(source + ": " + key + ": " + message);
  }

  /** Returns {@code settings} when no problem was found and no unknown key is left. */
  public <T> Result<T, SettingsError> finish(T settings) {
    root.fieldNames()
        .forEachRemaining(
            key -> {
              if (!known.contains(key)) {
                problem(key, "unknown key; known keys: " + String.join(", ", sortedKnown()));
              }
            });
    return problems.isEmpty() ? Result.ok(settings) : Result.err(new SettingsError(problems));
  }

  private List<String> sortedKnown() {
    return known.stream().sorted().toList();
  }

  private JsonNode lookup(String key) {
    known.add(key);
    JsonNode node = root.get(key);
    return node == null || node.isNull() ? null : node;
  }

  private String missing(String key, String expected, String fallback) {
    return fallback == null ? missingValue(key, expected, null) : fallback;
  }

  private <T> T missingValue(String key, String expected, T placeholder) {
    problem(key, "required; expected " + expected);
    return placeholder;
  }

  private <T> T invalid(String key, JsonNode found, String expected, T placeholder) {
    problem(key, "expected " + expected + ", found " + found);
    return placeholder;
  }
}
