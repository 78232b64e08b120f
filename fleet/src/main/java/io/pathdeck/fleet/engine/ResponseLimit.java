package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineCall;

/**
 * Bounds what is read of the response to one call, whoever reads it, so that an engine that writes
 * without end does little harm. The events of a stream are bounded where they are read.
 */
final class ResponseLimit {
  /** Load reports take a few hundred bytes. */
  private static final long MAX_REPORT_BYTES = 64 * 1024;

  /** Interim responses tell nothing that is used here. */
  private static final int MAX_INFORMATIONAL_HEADS = 16;

  private final long maxBodyBytes;
  private long bodyBytes;
  private int informationalHeads;

  private ResponseLimit(long maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  static ResponseLimit of(EngineCall call) {
    return new ResponseLimit(call.hasRequestId() ? Long.MAX_VALUE : MAX_REPORT_BYTES);
  }

  /** Counts a part of a body; returns whether it may be read. */
  boolean allowsBody(int bytes) {
    bodyBytes += bytes;
    return bodyBytes <= maxBodyBytes;
  }

  /** Counts an informational head; returns whether another one may follow. */
  boolean allowsInformationalHead() {
    informationalHeads++;
    return informationalHeads <= MAX_INFORMATIONAL_HEADS;
  }
}
