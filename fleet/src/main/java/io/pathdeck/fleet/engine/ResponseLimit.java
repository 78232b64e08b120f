package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineCall;

/**
 * Bounds what is read of the response to one call, whoever reads it, so that an engine that writes
 * without end does little harm. The events of a stream are bounded where they are read.
 */
final class ResponseLimit {
  /** Load reports take a few hundred bytes. */
  private static final long MAX_REPORT_BYTES = 64 * 1024;

  /** Bounds bodies of errors, and bodies that are dropped since they belong to another request. */
  private static final long MAX_UNSUCCESSFUL_BYTES = 1024 * 1024;

  /** Interim responses tell nothing that is used here. */
  private static final int MAX_INFORMATIONAL_HEADS = 16;

  private final long maxSuccessfulBytes;
  private long successfulBytes;
  private long unsuccessfulBytes;
  private int informationalHeads;

  private ResponseLimit(long maxSuccessfulBytes) {
    this.maxSuccessfulBytes = maxSuccessfulBytes;
  }

  static ResponseLimit of(EngineCall call) {
    return new ResponseLimit(call.hasRequestId() ? Long.MAX_VALUE : MAX_REPORT_BYTES);
  }

  /** Counts a part of the call's own successful response; returns whether it may be read. */
  boolean allowsSuccessfulBody(int bytes) {
    successfulBytes += bytes;
    return successfulBytes <= maxSuccessfulBytes;
  }

  /** Counts a part of any other response; returns whether it may be read. */
  boolean allowsUnsuccessfulBody(int bytes) {
    unsuccessfulBytes += bytes;
    return unsuccessfulBytes <= MAX_UNSUCCESSFUL_BYTES;
  }

  /** Counts an informational head; returns whether another one may follow. */
  boolean allowsInformationalHead() {
    informationalHeads++;
    return informationalHeads <= MAX_INFORMATIONAL_HEADS;
  }
}
