package io.pathdeck.common.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
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

  /**
   * {@inheritDoc}
   *
   * <p>The base class ends a name at its first blank and goes on to look for the colon, so that a
   * malformed line could pass for any field, such as the length of the body.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("invalid field name: it does not end at a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  /**
   * {@inheritDoc}
   *
   * <p>Is called once the head is complete. A body in any other coding than chunks would be read
   * until the connection closes, framing included.
   */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty() && !isChunked(codings)) {
      throw new IllegalArgumentException("unsupported transfer codings: " + codings);
    }
    return super.isContentAlwaysEmpty(message);
  }

  private static boolean isChunked(List<String> codings) {
    return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
  }

  private static void requireMatch(Pattern pattern, String text, String name) {
    if (!pattern.matcher(text).matches()) {
      throw new IllegalArgumentException("invalid " + name + ": " + text);
    }
  }
}
