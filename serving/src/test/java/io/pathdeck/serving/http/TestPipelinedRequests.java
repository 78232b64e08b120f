package io.pathdeck.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that is read as that of another request of the connection. */
class TestPipelinedRequests extends LoopbackServerTest {
  private static final String FIRST = get("/first");
  private static final String SECOND = get("/second");
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static CompletableFuture<Void> sendInBackground(Socket socket, String text) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            LoopbackServer.send(socket, text);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  private static void respond(HttpExchange exchange) {
    exchange.send(200, "text/plain", text(exchange.path()));
  }

  @Test
  void responsesHaveTheOrderOfTheRequests() throws Exception {
    try (Socket socket = server.connect(FIRST + SECOND)) {
      HttpExchange first = server.nextRequest();
      first.startStream(200, new DefaultHttpHeaders());
      first.write(text("part"));
      assertThat(server.dispatchesAnother()).isFalse();
      first.endStream();
      HttpExchange second = server.nextRequest();
      second.closeAfterResponse();
      respond(second);
      String responses = LoopbackServer.readAll(socket);
      assertThat(responses).contains("part\r\n" + LAST_CHUNK + "HTTP/1.1 200").endsWith("/second");
    }
  }

  @Test
  void abortedResponseEndsWithoutLastChunkAndIsFollowedByNothing() throws Exception {
    try (Socket socket = server.connect(FIRST + SECOND)) {
      HttpExchange first = server.nextRequest();
      first.startStream(200, new DefaultHttpHeaders());
      first.write(text("part"));
      LoopbackServer.readUntil(socket, "part\r\n");
      first.abort();
      first.endStream();
      respond(first);
      assertThat(LoopbackServer.readAll(socket)).isEmpty();
      assertThat(server.dispatchesAnother()).isFalse();
    }
  }

  @Test
  void nothingFollowsResponseThatClosesTheConnection() throws Exception {
    String closing = FIRST.replace("Host", "Connection: close\r\nHost");
    try (Socket socket = server.connect(closing + SECOND)) {
      respond(server.nextRequest());
      assertThat(LoopbackServer.readAll(socket)).contains("connection: close").endsWith("/first");
      assertThat(server.dispatchesAnother()).isFalse();
    }
  }

  @Test
  void largePipelinedBodyDoesNotBreakTheResponseBeforeIt() throws Exception {
    int length = LoopbackServer.MAX_BODY_LENGTH;
    String head = "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
    try (Socket socket = server.connect(FIRST)) {
      HttpExchange first = server.nextRequest();
      first.startStream(200, new DefaultHttpHeaders());
      first.write(text("part"));
      CompletableFuture<Void> sent = sendInBackground(socket, head + "x".repeat(length));
      Thread.sleep(300);
      first.endStream();
      LoopbackServer.readUntil(socket, LAST_CHUNK);
      HttpExchange second = server.nextRequest();
      assertThat(second.body()).hasSize(length);
      respond(second);
      assertThat(LoopbackServer.readUntil(socket, "/second")).startsWith("HTTP/1.1 200");
      sent.get();
    }
  }

  @Test
  void manyPipelinedRequestsAreServedInOrder() throws Exception {
    int count = 100;
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < count; i++) {
      requests.append(get("/" + i));
    }
    try (Socket socket = server.connect(requests.toString())) {
      for (int i = 0; i < count; i++) {
        HttpExchange exchange = server.nextRequest();
        assertThat(exchange.path()).isEqualTo("/" + i);
        respond(exchange);
        LoopbackServer.readUntil(socket, "\r\n\r\n/" + i);
      }
    }
  }

  @Test
  void responseThatCannotBeSentClosesTheConnection() throws Exception {
    try (Socket socket = server.connect(FIRST + SECOND)) {
      HttpExchange first = server.nextRequest();
      first.startStream(200, new DefaultHttpHeaders());
      first.write(text("part"));
      LoopbackServer.readUntil(socket, "part\r\n");
      respond(first);
      assertThat(LoopbackServer.readAll(socket)).isEmpty();
      assertThat(server.dispatchesAnother()).isFalse();
    }
  }

  @Test
  void streamThatStartsAfterTheResponseIsNotSent() throws Exception {
    try (Socket socket = server.connect(FIRST)) {
      HttpExchange first = server.nextRequest();
      respond(first);
      LoopbackServer.readUntil(socket, "/first");
      first.startStream(200, new DefaultHttpHeaders());
      first.write(text("part"));
      first.endStream();
      LoopbackServer.send(socket, SECOND);
      HttpExchange second = server.nextRequest();
      second.closeAfterResponse();
      second.send(404, "text/plain", text("/second"));
      assertThat(LoopbackServer.readAll(socket)).startsWith("HTTP/1.1 404");
    }
  }

  @Test
  void continueIsSentAfterThePreviousResponse() throws Exception {
    String expecting =
        "POST /second HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    try (Socket socket = server.connect(FIRST + expecting)) {
      HttpExchange first = server.nextRequest();
      Thread.sleep(100);
      respond(first);
      String responses = LoopbackServer.readUntil(socket, "HTTP/1.1 100 Continue\r\n\r\n");
      assertThat(responses).startsWith("HTTP/1.1 200").contains("/firstHTTP/1.1 100");
      LoopbackServer.send(socket, "ok" + FIRST);
      respond(server.nextRequest());
      respond(server.nextRequest());
      assertThat(LoopbackServer.readUntil(socket, "/first")).startsWith("HTTP/1.1 200");
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void responseToHeadHasNoBody(boolean streamed) throws Exception {
    String expecting =
        "POST /first HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok";
    String head = FIRST.replace("GET", "HEAD");
    try (Socket socket = server.connect(expecting + head + SECOND)) {
      respond(server.nextRequest());
      HttpExchange toHead = server.nextRequest();
      if (streamed) {
        toHead.startStream(200, new DefaultHttpHeaders());
        toHead.write(text("part"));
        toHead.endStream();
      } else {
        respond(toHead);
      }
      HttpExchange second = server.nextRequest();
      second.closeAfterResponse();
      respond(second);
      String[] responses = LoopbackServer.readAll(socket).split("HTTP/1.1 ");
      assertThat(responses).hasSize(5);
      assertThat(responses[1]).startsWith("100");
      assertThat(responses[2]).startsWith("200").endsWith("\r\n\r\n/first");
      assertThat(responses[3]).startsWith("200").endsWith("\r\n\r\n");
      assertThat(responses[4]).startsWith("200").endsWith("\r\n\r\n/second");
    }
  }

  @ParameterizedTest
  @CsvSource({"204, false", "204, true", "205, false", "205, true", "304, false", "304, true"})
  void responseWithoutContentHasNoBody(int status, boolean streamed) throws Exception {
    try (Socket socket = server.connect(FIRST + SECOND)) {
      HttpExchange first = server.nextRequest();
      if (streamed) {
        first.startStream(status, new DefaultHttpHeaders());
        first.write(text("part"));
        first.endStream();
      } else {
        first.send(status, "text/plain", text("part"));
      }
      HttpExchange second = server.nextRequest();
      second.closeAfterResponse();
      respond(second);
      String[] responses = LoopbackServer.readAll(socket).split("HTTP/1.1 ");
      assertThat(responses).hasSize(3);
      assertThat(responses[1]).startsWith(status + " ").endsWith("\r\n\r\n");
      assertThat(responses[2]).startsWith("200").endsWith("\r\n\r\n/second");
    }
  }
}
