package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import java.util.Map;
import java.util.TreeMap;

/**
 * Fenced orders: an order carries a term and a sequence number, and one that is not newer than the
 * last accepted is refused, so that an order of a deposed controller has no effect.
 */
final class EngineOrders {
  private long lastTerm;
  private long lastSequence;
  private String role = "mixed";
  private final Map<String, String> models = new TreeMap<>();

  /** Accepts an order or returns why not. */
  synchronized String accept(ObjectNode order) {
    long term = order.path("term").asLong(-1);
    long sequence = order.path("sequence").asLong(-1);
    if (term < 0 || sequence < 0) {
      return "expected term and sequence";
    }
    if (term < lastTerm || (term == lastTerm && sequence <= lastSequence)) {
      return "stale order: last was term " + lastTerm + " sequence " + lastSequence;
    }
    lastTerm = term;
    lastSequence = sequence;
    apply(order);
    return null;
  }

  private void apply(ObjectNode order) {
    String model = order.path("model").asText();
    switch (order.path("action").asText()) {
      case "load" -> models.put(model, order.path("version").asText());
      case "unload" -> models.remove(model);
      case "role" -> role = order.path("role").asText();
      default -> {
        // An unknown action only moves the fence.
      }
    }
  }

  synchronized ObjectNode toJson() {
    ObjectNode json = Json.object();
    json.put("term", lastTerm);
    json.put("sequence", lastSequence);
    json.put("role", role);
    ObjectNode loaded = json.putObject("models");
    models.forEach(loaded::put);
    return json;
  }
}
