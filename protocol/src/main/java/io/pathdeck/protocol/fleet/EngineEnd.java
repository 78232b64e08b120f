package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * An engine ended while a request was under way there.
 *
 * @param engine names the life of the engine that ended, see {@link EngineInstance#lifeId}
 * @param answerBegan whether the engine had begun to answer the request
 * @param promptParts the parts of the request's prompt that other requests may share, in order
 * @param ranMs how long the request had been at the engine
 * @param agoMs how long ago the engine ended
 */
public record EngineEnd(
    String engine,
    RequestFingerprint request,
    boolean answerBegan,
    List<RequestFingerprint> promptParts,
    long ranMs,
    long agoMs) {
  public EngineEnd {
    promptParts = new ArrayList<>(promptParts);
  }

  /** An end that happened just now, under a request whose prompt shares no parts. */
  public EngineEnd(String engine, RequestFingerprint request, boolean answerBegan) {
    this(engine, request, answerBegan, List.of(), 0, 0);
  }

  /** The same end, told later. */
  public EngineEnd withAge(long newAgoMs) {
    return new EngineEnd(engine, request, answerBegan, promptParts, ranMs, newAgoMs);
  }
}
