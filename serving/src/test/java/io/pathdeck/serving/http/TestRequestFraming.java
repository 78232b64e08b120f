package io.pathdeck.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that run with a part of their body or are hidden in another request. */
class TestRequestFraming extends LoopbackServerTest {
  private static final String CHUNKED =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String NEXT = get("/next");

  /** Checks that a request is answered with one error, and that nothing follows it. */
  private void assertRejected(String request, String statuses) throws Exception {
    try (Socket socket = server.connect(request + NEXT)) {
      assertThat(LoopbackServer.readAll(socket))
          .matches("(?s)HTTP/1.1 (" + statuses + ") .*")
          .contains("connection: close")
          .containsOnlyOnce("HTTP/1.1");
      assertThat(server.dispatchesAnother()).isFalse();
    }
  }

  @ParameterizedTest(name = "{index}")
  @ValueSource(
      strings = {
        "5\r\nhello\r\nzz\r\nworld\r\n0\r\n\r\n",
        "5\r\nhelloworld\r\n0\r\n\r\n",
        "-1\r\nhello\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\nno trailer\r\n\r\n",
        "5\r\nhello\r\n0\r\nTrailer : v\r\n\r\n"
      })
  void malformedChunkOrTrailerIsRejected(String body) throws Exception {
    assertRejected(CHUNKED + body, "400");
  }

  @Test
  void malformedChunkOfPipelinedRequestIsRejectedAfterThePreviousResponse() throws Exception {
    try (Socket socket = server.connect(NEXT + CHUNKED + "5\r\nhello\r\nzz\r\n")) {
      HttpExchange first = server.nextRequest();
      Thread.sleep(100);
      first.sendJson(200, LoopbackServer.NO_BODY);
      String responses = LoopbackServer.readAll(socket);
      assertThat(responses).startsWith("HTTP/1.1 200");
      assertThat(responses.substring(1)).containsOnlyOnce("HTTP/1.1 ").contains("HTTP/1.1 400");
      assertThat(server.dispatchesAnother()).isFalse();
    }
  }

  @ParameterizedTest(name = "{index}")
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length : 5\r\n",
        "Content-Length: 5\nX: y\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding:\u000bchunked\r\n",
        "X: y\rTransfer-Encoding: chunked\r\n",
        "X\u0000: y\r\n"
      })
  void ambiguousHeadIsRejected(String headers) throws Exception {
    String request = "POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
    assertRejected(request + "0\r\n\r\n", "400|501");
  }

  @ParameterizedTest(name = "{index}")
  @ValueSource(strings = {"HTTP/1.0", "HTTP/1.1"})
  void bodyWithLengthIsReadWhole(String version) throws Exception {
    String head = "POST /a " + version + "\r\nHost: h\r\nContent-Length: 5\r\n\r\n";
    try (Socket socket = server.connect(head + "hello" + NEXT)) {
      HttpExchange exchange = server.nextRequest();
      assertThat(new String(exchange.body(), StandardCharsets.US_ASCII)).isEqualTo("hello");
      exchange.abort();
      assertThat(LoopbackServer.readAll(socket)).isEmpty();
    }
  }

  @Test
  void chunkedRequestOfOldVersionIsRejected() throws Exception {
    String old = CHUNKED.replace("HTTP/1.1", "HTTP/1.0");
    assertRejected(old + "5\r\nhello\r\n0\r\n\r\n", "400");
  }

  @Test
  void foldedHeaderIsOneHeader() throws Exception {
    String folded = "POST /a HTTP/1.1\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\n";
    try (Socket socket = server.connect(folded)) {
      HttpExchange exchange = server.nextRequest();
      assertThat(exchange.headers().get("X")).isEqualTo("y Transfer-Encoding: chunked");
      assertThat(exchange.headers().names()).containsExactly("X");
      exchange.abort();
      assertThat(LoopbackServer.readAll(socket)).isEmpty();
    }
  }

  @ParameterizedTest(name = "{index}")
  @ValueSource(strings = {"h:80", "/a"})
  void connectIsRejected(String target) throws Exception {
    assertRejected("CONNECT " + target + " HTTP/1.1\r\nHost: h\r\n\r\n", "501");
  }
}
