package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Writes requests for engines and reads their answers. */
public interface EngineProtocol {
  /** The request that carries a call. */
  FullHttpRequest write(EngineCall call);

  /** The head of an answer. */
  EngineResponse read(HttpResponse head);

  /** The path at which an engine reports its load. */
  String reportPath();

  /** The load in the body of a report; empty when it cannot be read. */
  Optional<EngineLoadReport> readReport(byte[] body);
}
