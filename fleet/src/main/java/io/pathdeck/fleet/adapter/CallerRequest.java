package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** What a caller asks a gateway for. */
public sealed interface CallerRequest {

  /**
   * A request to be matched against the routes.
   *
   * @param requestId the caller's id of this attempt; empty when it gave none
   * @param path the path without the query, as routes see it
   * @param deadlineMs how long the caller waits; 0 when it did not say
   * @param resumeAfter the last event the caller has; -1 when it starts from the beginning
   * @param promptTokens the tokens of the prompt; 0 when not stated
   * @param outputTokens the most tokens out; 0 when not stated
   * @param key what the caller proves its tenant with; empty when it sent none
   * @param headers what is passed on to an engine
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

  /** Reads the body of an item that waits. */
  record ReadItem(String jobId, String itemId, String key) implements CallerRequest {}

  /** Ends a batch job. */
  record EndJob(String jobId, String key) implements CallerRequest {}

  /** Not a call of this protocol. */
  record Malformed(String reason) implements CallerRequest {}
}
