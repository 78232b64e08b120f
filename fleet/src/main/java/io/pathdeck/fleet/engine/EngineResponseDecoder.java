package io.pathdeck.fleet.engine;

import io.netty.handler.codec.http.HttpMessage;
import io.pathdeck.common.http.StrictResponseDecoder;

/** Decodes the responses on a connection; a response to HEAD has no body, whatever it tells. */
final class EngineResponseDecoder extends StrictResponseDecoder {
  private final EngineConnection connection;

  EngineResponseDecoder(EngineConnection connection) {
    this.connection = connection;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    // The superclass validates the head, so it is asked first.
    return super.isContentAlwaysEmpty(message) || connection.awaitsHeadOnly();
  }
}
