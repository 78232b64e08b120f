package io.pathdeck.serving.engine;

/**
 * One attempt to run a request.
 *
 * @param attemptId identifies the attempt; the engine echoes it
 * @param responseId identifies the answer, the same for all attempts
 * @param path the API path, for example {@code /v1/chat/completions}
 * @param body the JSON body, which asks for a stream
 * @param resumeAfter the number of tokens the caller already has; 0 starts from the beginning
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
