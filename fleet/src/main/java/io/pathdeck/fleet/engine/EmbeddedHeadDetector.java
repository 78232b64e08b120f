package io.pathdeck.fleet.engine;

import io.pathdeck.common.http.ResponseHeadValidator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

/**
 * Finds the head of another response in a body, such as that of a late second response behind one
 * without a length.
 *
 * <p>A body may quote heads, so that only one with the id of a request that was sent on the same
 * connection is taken for a response.
 */
final class EmbeddedHeadDetector {
  private static final String PROTOCOL = "HTTP/";

  /** Limits how much of a line is kept until its end arrives. */
  private static final int MAX_LINE_LENGTH = 512;

  private final List<String> identityHeaders;
  private final Set<String> sentRequestIds;
  private String lineBeginning = "";
  private boolean inHead;
  private boolean found;

  EmbeddedHeadDetector(List<String> identityHeaders, Set<String> sentRequestIds) {
    this.identityHeaders = identityHeaders;
    this.sentRequestIds = sentRequestIds;
  }

  /** Adds a part of the body; returns whether another response has begun so far. */
  boolean add(byte[] part) {
    String text = lineBeginning + new String(part, StandardCharsets.ISO_8859_1);
    int lineStart = 0;
    for (int end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', lineStart)) {
      addLine(text.substring(lineStart, end));
      lineStart = end + 1;
    }
    lineBeginning = text.substring(Math.max(lineStart, text.length() - MAX_LINE_LENGTH));
    return found;
  }

  private void addLine(String line) {
    if (line.contains(PROTOCOL) && ResponseHeadValidator.hasStatusLine(line)) {
      inHead = true;
      return;
    }
    int nameEnd = line.indexOf(':');
    inHead &= nameEnd > 0;
    if (inHead) {
      String name = line.substring(0, nameEnd);
      String value = line.substring(nameEnd + 1).trim();
      found |=
          identityHeaders.stream().anyMatch(name::equalsIgnoreCase)
              && sentRequestIds.contains(value);
    }
  }
}
