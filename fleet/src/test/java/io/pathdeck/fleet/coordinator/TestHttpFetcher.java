package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.fleet.engine.ScriptedServer;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A response that breaks off, or that HTTP does not allow, must not pass for a document. */
class TestHttpFetcher {
  private static final long BOUND_MS = 5_000;
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final HttpFetcher fetcher = new HttpFetcher(eventLoops.next());
  private ScriptedServer server;

  @BeforeEach
  void start() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private Result<byte[], String> fetch(String response) throws Exception {
    server.respond(response);
    HostPort address = HostPort.parse(server.engine("e").address()).orElseThrow();
    return fetcher.get(address, "/", BOUND_MS).get(2 * BOUND_MS, TimeUnit.MILLISECONDS);
  }

  private void assertCutsAreNoDocuments() throws Exception {
    for (int length = 0; length < RESPONSE.length(); length++) {
      String cut = RESPONSE.substring(0, length);
      assertThat(fetch(cut)).as(cut).isInstanceOf(Result.Err.class);
    }
  }

  @Test
  void cutByEndOfStream() throws Exception {
    assertCutsAreNoDocuments();
  }

  @Test
  void cutByReset() throws Exception {
    server.resetConnections();
    assertCutsAreNoDocuments();
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 x", "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK", "ICY 200 OK"})
  void invalidStatusLineIsNoDocument(String statusLine) throws Exception {
    assertThat(fetch(RESPONSE.replace("HTTP/1.1 200 OK", statusLine)))
        .isInstanceOf(Result.Err.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length : 1",
        "Content-Length x: 1",
        "X Note: 1",
        "X-Note\t: 1",
        "X\u0001Note: 1"
      })
  void invalidFieldNameIsNoDocument(String line) throws Exception {
    assertThat(fetch("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok")).isInstanceOf(Result.Err.class);
    assertThat(fetch(RESPONSE.replace("\r\n\r\n", "\r\n" + line + "\r\n\r\n")))
        .isInstanceOf(Result.Err.class);
  }

  @ParameterizedTest
  @ValueSource(strings = {"gzip", "xchunked", "identity", "chunked\r\nTransfer-Encoding: chunked"})
  void otherTransferCodingIsNoDocument(String coding) throws Exception {
    String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
    assertThat(fetch(head + "2\r\nok\r\n0\r\n\r\n")).isInstanceOf(Result.Err.class);
  }

  @Test
  void wholeResponseIsDocument() throws Exception {
    assertThat(fetch(RESPONSE)).isInstanceOf(Result.Ok.class);
  }
}
