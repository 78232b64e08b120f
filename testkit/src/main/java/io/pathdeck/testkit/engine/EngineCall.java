package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.serving.api.GenerationRequest;
import io.pathdeck.serving.engine.EngineHeaders;
import io.pathdeck.serving.engine.Priority;
import io.pathdeck.serving.http.HttpExchange;

/** A generation call as the emulated engine understands it. */
record EngineCall(
    String requestId,
    String responseId,
    String model,
    boolean chat,
    boolean includeUsage,
    Priority priority,
    String prompt,
    int promptTokens,
    int answerTokens,
    long seed,
    int resumeAfter) {

  static EngineCall of(HttpExchange exchange, ObjectNode body) {
    HttpHeaders headers = exchange.headers();
    String requestId = headers.get(EngineHeaders.REQUEST_ID, "direct");
    boolean batch = "batch".equals(headers.get(EngineHeaders.PRIORITY));
    return new EngineCall(
        requestId,
        headers.get(EngineHeaders.RESPONSE_ID, requestId),
        body.path("model").asText(),
        exchange.path().equals(GenerationRequest.CHAT_PATH),
        body.path("stream_options").path("include_usage").asBoolean(),
        batch ? Priority.BATCH : Priority.ONLINE,
        EmulatedText.promptText(body),
        EmulatedText.promptTokens(body),
        EmulatedText.answerTokens(body),
        EmulatedText.seed(body),
        Integer.parseInt(headers.get(EngineHeaders.LAST_EVENT_ID, "0")));
  }
}
