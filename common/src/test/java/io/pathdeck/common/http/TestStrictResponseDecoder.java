package io.pathdeck.common.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that HTTP does not allow and that are decoded all the same. */
class TestStrictResponseDecoder {
  private static final int MAX_LENGTH = 1_024;
  private static final String STATUS_LINE = "HTTP/1.1 200 OK";
  private static final String END = "\r\nContent-Length: 2\r\n\r\nok";

  /** A response that was read; the message of the failure if there was one. */
  private record Decoded(String body, String failure) {}

  private static List<Decoded> decode(List<byte[]> parts) {
    EmbeddedChannel channel =
        new EmbeddedChannel(new StrictResponseDecoder(), new HttpObjectAggregator(MAX_LENGTH));
    for (byte[] part : parts) {
      channel.writeInbound(Unpooled.wrappedBuffer(part));
    }
    List<Decoded> decoded = new ArrayList<>();
    for (FullHttpResponse next = channel.readInbound();
        next != null;
        next = channel.readInbound()) {
      if (next.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
        decoded.add(decodedFrom(next));
      }
      next.release();
    }
    channel.finishAndReleaseAll();
    return decoded;
  }

  private static Decoded decodedFrom(FullHttpResponse response) {
    return new Decoded(
        response.content().toString(StandardCharsets.ISO_8859_1),
        response.decoderResult().isSuccess() ? "" : response.decoderResult().cause().getMessage());
  }

  /** Decodes a response that comes at once, and the same one in pieces of one byte. */
  private static List<Decoded> decodeInBothWays(String response) {
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    List<byte[]> pieces = new ArrayList<>();
    for (byte each : bytes) {
      pieces.add(new byte[] {each});
    }
    List<Decoded> decoded = decode(List.of(bytes));
    assertThat(decode(pieces)).isEqualTo(decoded);
    return decoded;
  }

  private static void assertFieldFails(String line) {
    assertFails(STATUS_LINE + "\r\n" + line + END, "");
  }

  /** A failed response is the last one on its connection. */
  private static void assertFails(String response, String failure) {
    List<Decoded> decoded = decodeInBothWays(response + STATUS_LINE + END);
    assertThat(decoded).hasSize(1);
    assertThat(decoded.get(0).failure()).isNotEmpty().startsWith(failure);
  }

  private static void assertSucceeds(String response) {
    assertThat(decodeInBothWays(response)).containsExactly(new Decoded("ok", ""));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 x",
        "001 x",
        "099 x",
        "0 x",
        "20 OK",
        "2000 OK",
        "0200 OK",
        "+200 OK",
        "-200 OK",
        "600 x",
        "999 x",
        "2x0 OK",
        "200.0 OK",
        "\u00b2\u00b9\u00b9 OK",
        "0x200 OK"
      })
  void statusCodeOutOfRangeFails(String status) {
    assertFails("HTTP/1.1 " + status + END, "invalid status code");
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "http/1.1", "HTTP/1.10", "ICY/1.1"})
  void otherProtocolFails(String version) {
    assertFails(version + " 200 OK" + END, "invalid protocol version");
  }

  @ParameterizedTest
  @ValueSource(strings = {"O\u0000K", "O\u0001K", "O\u001bK", "OK\u007f", "O\u0008K"})
  void controlCharacterInReasonPhraseFails(String reasonPhrase) {
    assertFails("HTTP/1.1 200 " + reasonPhrase + END, "invalid reason phrase");
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 x", "HTTP/3.0 103 x"})
  void invalidInformationalStatusLineFails(String statusLine) {
    assertFails(statusLine + "\r\n\r\n" + STATUS_LINE + END, "invalid");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: 1",
        "X-Note : 1",
        "X-Note\t: 1",
        "X\tNote: 1",
        "X Note",
        "X-Note ",
        "Content-Length : 1",
        "Content-Length\t: 1",
        "Content-Length 9: 1",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding x: chunked",
        "Transfer-Encoding\t: chunked"
      })
  void blankInFieldNameFails(String line) {
    assertFieldFails(line);
    assertFieldFails("Server: e\r\n" + line);
  }

  /** A blank at the beginning of a line continues the field above. */
  @ParameterizedTest
  @ValueSource(strings = {" X-Note: 1", "\tX-Note: 1", " : 1", " Content-Length: 1"})
  void blankBeforeFirstFieldNameFails(String line) {
    assertFieldFails(line);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X\u0000Note: 1",
        "\u0001X-Note: 1",
        "X-\u0008Note: 1",
        "X-Note\u000b: 1",
        "X\u000cNote: 1",
        "X\u001bNote: 1",
        "X-Note\u001f: 1",
        "X-Note\u007f: 1",
        "Content-Length\u0000: 1",
        "Content-Length\u0001: 1",
        "\u0002Content-Length: 1",
        "Content-Length\u000b: 1",
        "Transfer-Encoding\u001c: chunked",
        "X\rNote: 1"
      })
  void controlCharacterInFieldNameFails(String line) {
    assertFieldFails(line);
    assertFieldFails("Server: e\r\n" + line);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {": 1", "X-Note", "X(Note): 1", "X\u00e4: 1", "X-Note: 1\u00002", "X/Y: 1"})
  void otherInvalidFieldFails(String line) {
    assertFieldFails(line);
  }

  @ParameterizedTest
  @ValueSource(strings = {"X Note: 1", "X-Note : 1", "X-Note\t: 1", "X-Note ", "X\u0001: 1"})
  void invalidTrailerFails(String line) {
    String chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    assertFails(STATUS_LINE + chunked + line + "\r\n\r\n", "");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Note:",
        "X-Note: ",
        "X-Note:1",
        "X-Note:   1  ",
        "X-Note: 1 2\t3",
        "X-Note: a: b",
        "X-Note: \u00e4\u00ff",
        "!#$%&'*+-.^_`|~09aZ: 1",
        "X-Note: 1\r\n 2",
        "content-type:text/plain"
      })
  void unusualFieldSucceeds(String line) {
    assertSucceeds(STATUS_LINE + "\r\n" + line + END);
  }

  /** Guards against the framing of chunks that passes for the body. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "xchunked",
        "chunked x",
        "\"chunked\"",
        "chunked;q=1",
        "identity",
        "",
        "chunked\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip"
      })
  void otherTransferCodingFails(String coding) {
    String head = STATUS_LINE + "\r\nTransfer-Encoding: " + coding;
    assertFails(head + "\r\n\r\n2\r\nok\r\n0\r\n\r\n", "");
    assertFails(head + END, "");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "X-Note: 1\r\n", "X-Note:1\r\nX-More: \r\n"})
  void chunksWithTrailersSucceed(String trailers) {
    String chunked = "\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n";
    assertSucceeds(STATUS_LINE + chunked + trailers + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 Very  well\tdone",
        "HTTP/1.1 200 \u00e4\u00ff",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 599 x",
        "HTTP/1.1 299 x",
        "HTTP/1.1   200   OK",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.1 200 OK"
      })
  void unusualStatusLineSucceeds(String statusLine) {
    assertSucceeds(statusLine + END);
  }
}
