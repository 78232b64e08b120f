package io.pathdeck.serving.engine;

/**
 * One attempt to run a request.
 *
 * @param attemptId the ID of the attempt; the engine echoes it
 * @param responseId the ID of the response, the same for all attempts
 * @param path the API path, for example {@code /v1/chat/completions}
 * @param body the JSON body, with streaming enabled
 * @param resumeAfter the number of tokens already received; 0 starts from the beginning
 */
public record EngineRequest(
    String attemptId,
    String responseId,
    String path,
    byte[] body,
    Priority priority,
    int resumeAfter,
    long idleTimeoutMs,
    long totalTimeoutMs) {}
