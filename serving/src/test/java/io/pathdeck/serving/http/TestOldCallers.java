package io.pathdeck.serving.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against chunks that callers of HTTP/1.0, who know none, take for the body. */
class TestOldCallers extends LoopbackServerTest {
  private static final String REQUEST =
      "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";

  private HttpExchange startStream() throws Exception {
    HttpExchange exchange = server.nextRequest();
    exchange.startStream(200, new DefaultHttpHeaders());
    exchange.write("part".getBytes(StandardCharsets.US_ASCII));
    return exchange;
  }

  @Test
  void streamEndsWithTheConnection() throws Exception {
    try (Socket socket = server.connect(REQUEST)) {
      startStream().endStream();
      String response = LoopbackServer.readAll(socket);
      assertThat(response).contains("connection: close").endsWith("\r\n\r\npart");
      assertThat(response).doesNotContain("transfer-encoding");
    }
  }

  @Test
  void abortedStreamIsReset() throws Exception {
    try (Socket socket = server.connect(REQUEST)) {
      HttpExchange exchange = startStream();
      LoopbackServer.readUntil(socket, "part");
      exchange.abort();
      assertThatThrownBy(() -> LoopbackServer.readAll(socket)).isInstanceOf(IOException.class);
    }
  }
}
