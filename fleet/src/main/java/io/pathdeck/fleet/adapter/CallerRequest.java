package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** A request of a caller to a gateway. */
public sealed interface CallerRequest {

  /**
   * A request to be matched against the routes.
   *
   * @param requestId the caller's id of this attempt; empty if not given
   * @param path the path without the query, as matched by routes
   * @param deadlineMs how long the caller waits; 0 if not given
   * @param resumeAfter the last event that the caller has; -1 to start from the beginning
   * @param promptTokens number of tokens in the prompt; 0 if not given
   * @param outputTokens maximum number of output tokens; 0 if not given
   * @param key the API key of the caller's tenant; empty if not given
   * @param headers the headers to forward to an engine
   */
  record Routed(
      String requestId,
      String host,
      String path,
      long deadlineMs,
      long resumeAfter,
      long promptTokens,
      long outputTokens,
      List<PromptPart> promptParts,
      String key,
      HttpHeaders headers)
      implements CallerRequest {}

  /** A part of a prompt that other requests may share. */
  record PromptPart(String id, long tokens) {}

  /** Reads results of a batch job. */
  record ReadResults(String jobId, int from, long waitMs, String key) implements CallerRequest {}

  /** Reads the body of a waiting item. */
  record ReadItem(String jobId, String itemId, String key) implements CallerRequest {}

  /** Ends a batch job. */
  record EndJob(String jobId, String key) implements CallerRequest {}

  /** A request that is not valid in this protocol. */
  record Malformed(String reason) implements CallerRequest {}
}
