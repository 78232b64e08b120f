package io.pathdeck.fleet.adapter;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;

/** Encodes requests to engines and parses their responses. */
public interface EngineProtocol {
  /** Encodes the request to an engine. */
  FullHttpRequest write(EngineCall call);

  /** Returns the id of the request that a response names; empty if it names none. */
  String requestIdOf(HttpResponse head);

  /** Returns the names of the headers that a response has at most once, such as its id. */
  List<String> uniqueHeaders();

  /** Parses the status and headers of the response to a call. */
  EngineResponse read(HttpResponse head, EngineCall call);

  /** Returns the ids of the parts of a call's prompt that other requests may share, in order. */
  List<String> sharedPromptParts(EngineCall call);

  /** Returns the path at which an engine reports its load. */
  String reportPath();

  /** Parses the body of a load report; empty if it is invalid. */
  Optional<EngineLoadReport> readReport(byte[] body);
}
