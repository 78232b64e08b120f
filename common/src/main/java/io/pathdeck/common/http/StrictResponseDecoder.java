package io.pathdeck.common.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/**
 * Decodes responses, and fails the decoding of those that RFC 9112 does not allow although the base
 * class accepts them.
 *
 * <p>A failed response leaves the decoder as one message with the failure as its result. What
 * follows on the connection is discarded.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");
  private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d{2}");
  private static final Pattern REASON_PHRASE = Pattern.compile("[\\t\\x20-\\x7E\\x80-\\uFFFF]*");

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    requireMatch(VERSION, statusLine[0], "protocol version");
    requireMatch(STATUS_CODE, statusLine[1], "status code");
    requireMatch(REASON_PHRASE, statusLine[2], "reason phrase");
    return super.createMessage(statusLine);
  }

  private static void requireMatch(Pattern pattern, String text, String name) {
    if (!pattern.matcher(text).matches()) {
      throw new IllegalArgumentException("invalid " + name + ": " + text);
    }
  }
}
