package io.pathdeck.fleet.adapter;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.List;

/** Parses the pages of the list of engines. */
public interface EngineListProtocol {

  /**
   * A page of the list.
   *
   * @param engines the valid entries
   * @param nextPage the id of the next page; null on the last one
   * @param rejected the reasons why entries were rejected, one line each
   */
  record Page(List<EngineInstance> engines, String nextPage, List<String> rejected) {}

  /** Returns the path of a page; {@code page} is null for the first one. */
  String path(String page);

  /** Parses a page, or returns an error message if the page as a whole is invalid. */
  Result<Page, String> read(byte[] body);
}
