package io.pathdeck.common.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds heads that were decoded from the bytes of several responses.
 *
 * <p>A server may stop within a head and go on with another response on the same connection. The
 * decoder rejects the status line of the second one as a header name, but not as the end of a
 * header value or of a reason phrase: such a head has the status of the first response, and the
 * request id of the second one.
 */
public final class ResponseHeadValidator {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

  private final List<String> uniqueHeaders;

  /**
   * Creates a validator.
   *
   * @param uniqueHeaders the names of the headers that a response has at most once
   */
  public ResponseHeadValidator(List<String> uniqueHeaders) {
    this.uniqueHeaders = uniqueHeaders;
  }

  /** Returns why a head is not that of one response; empty if it may be. */
  public Optional<String> problemOf(String reasonPhrase, HttpHeaders headers) {
    if (hasStatusLine(reasonPhrase)) {
      return Optional.of("a status line within the status line");
    }
    for (Map.Entry<String, String> header : headers) {
      if (hasStatusLine(header.getValue())) {
        return Optional.of("a status line within the header " + header.getKey());
      }
    }
    return uniqueHeaders.stream()
        .filter(name -> headers.getAll(name).size() > 1)
        .map(name -> "more than one header " + name)
        .findFirst();
  }

  /** Whether a text contains the beginning of a status line. */
  public static boolean hasStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }
}
