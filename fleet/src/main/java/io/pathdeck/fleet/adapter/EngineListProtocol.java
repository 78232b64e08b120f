package io.pathdeck.fleet.adapter;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.List;

/** Reads the list of engines, page by page. */
public interface EngineListProtocol {

  /**
   * A page of the list.
   *
   * @param nextPage names the page that follows; null on the last one
   * @param rejected why entries name no engine, one line each
   */
  record Page(List<EngineInstance> engines, String nextPage, List<String> rejected) {}

  /** The path of a page; {@code page} is null for the first one. */
  String path(String page);

  /** Reads a page, or says why it cannot be read. */
  Result<Page, String> read(byte[] body);
}
