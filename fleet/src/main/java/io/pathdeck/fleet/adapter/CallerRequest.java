package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** A request of a caller to a gateway. */
public sealed interface CallerRequest {

  /**
   * A request to be matched against the routes.
   *
   * @param requestId the caller's id of this attempt; empty if not given
   * @param host the host that the caller addressed
   * @param path the path without the query, not decoded, as matched by routes
   * @param maxWaitMs how long the caller waits; 0 if not given
   * @param resumeAfter the last event that the caller has; -1 to start from the beginning
   * @param resumedRequestId the id of the caller's attempt that brought the first event of the
   *     stream to go on; empty if not given
   * @param promptTokens number of tokens in the prompt; 0 if not given
   * @param outputTokens maximum number of output tokens; 0 if not given
   * @param promptParts the parts of the prompt that other requests may share
   * @param key the API key of the caller's tenant; empty if not given
   * @param headers the headers to forward to an engine
   */
  record Routed(
      String requestId,
      String host,
      String path,
      long maxWaitMs,
      long resumeAfter,
      String resumedRequestId,
      long promptTokens,
      long outputTokens,
      List<PromptPart> promptParts,
      String key,
      HttpHeaders headers)
      implements CallerRequest {
    /** Whether the caller has events of the stream already. */
    public boolean isResumption() {
      return resumeAfter >= 0;
    }
  }

  /** A part of a prompt that other requests may share. */
  record PromptPart(String id, long tokens) {}

  /** Reads results of a batch job; waits up to {@code waitMs} if there is none yet. */
  record ReadResults(String jobId, int from, long waitMs, String key) implements CallerRequest {}

  /** Reads the body of an item of a batch job that still waits for its execution. */
  record ReadItem(String jobId, String itemId, String key) implements CallerRequest {}

  /** Ends a batch job. */
  record EndJob(String jobId, String key) implements CallerRequest {}

  /** A request that violates the protocol; {@code reason} is returned to the caller. */
  record Malformed(String reason) implements CallerRequest {}
}
