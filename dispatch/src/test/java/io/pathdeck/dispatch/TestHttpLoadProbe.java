package io.pathdeck.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineHeaders;
import io.pathdeck.serving.engine.EngineLoad;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestHttpLoadProbe {
  private static final String LOAD = "online=3;batch=1;waiting=2";
  private static final long BOUND_MS = 3_000;

  /** Includes what the sockets of both sides buffer. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final HttpLoadProbe probe = new HttpLoadProbe(eventLoops);
  private final CompletableFuture<Long> sentBytes = new CompletableFuture<>();
  private HttpServer engine;

  @BeforeEach
  void start() throws IOException {
    engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    engine.start();
  }

  @AfterEach
  void stop() throws IOException {
    probe.close();
    engine.stop(0);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private CompletableFuture<EngineLoad> probeLoad() {
    CompletableFuture<EngineLoad> load = new CompletableFuture<>();
    probeLoad(engine.getAddress().getPort(), load::complete);
    return load;
  }

  private void probeLoad(int port, Consumer<EngineLoad> listener) {
    probe.probe(new EngineSpec("engine-0", "127.0.0.1:" + port, "z", "s", 4, false), listener);
  }

  private void writeWithoutEnd(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    long sent = 0;
    try {
      while (true) {
        exchange.getResponseBody().write(new byte[8_192]);
        sent += 8_192;
      }
    } catch (IOException e) {
      sentBytes.complete(sent);
    }
  }

  /** Guards against a body without end, which fills the dispatcher's memory. */
  @Test
  void bodyWithoutEndIsGivenUp() throws Exception {
    engine.createContext("/load", this::writeWithoutEnd);
    probeLoad();
    assertThat(sentBytes.get(BOUND_MS, TimeUnit.MILLISECONDS)).isLessThan(MAX_SENT_BYTES);
  }

  @Test
  void loadIsReadFromTheHead() throws Exception {
    engine.createContext(
        "/load",
        exchange -> {
          exchange.getResponseHeaders().set(EngineHeaders.LOAD, LOAD);
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    assertThat(probeLoad().get(BOUND_MS, TimeUnit.MILLISECONDS))
        .isEqualTo(EngineLoad.parse(LOAD).orElseThrow());
  }

  /** Guards against a load that is read although the engine ended within its head. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void headThatBreaksOffTellsNoLoad(boolean reset) throws Exception {
    BlockingQueue<EngineLoad> loads = new LinkedBlockingQueue<>();
    String cutHead =
        "HTTP/1.1 200 OK\r\n" + EngineHeaders.LOAD + ": online=9;batch=9;waiting=9\r\n";
    String head = "HTTP/1.1 200 OK\r\n" + EngineHeaders.LOAD + ": " + LOAD + "\r\n";
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (int length = 0; length <= cutHead.length(); length++) {
        probeLoad(server.getLocalPort(), loads::add);
        respond(server, cutHead.substring(0, length), reset);
      }
      probeLoad(server.getLocalPort(), loads::add);
      respond(server, head + "Content-Length: 0\r\n\r\n", false);
      assertThat(loads.poll(BOUND_MS, TimeUnit.MILLISECONDS))
          .isEqualTo(EngineLoad.parse(LOAD).orElseThrow());
      assertThat(loads).isEmpty();
    }
  }

  /** Guards against the load of a refusal that is read below the status of a success. */
  @Test
  void headOfTwoResponsesTellsNoLoad() throws Exception {
    BlockingQueue<EngineLoad> loads = new LinkedBlockingQueue<>();
    String load = EngineHeaders.LOAD + ": " + LOAD + "\r\n";
    String success = "HTTP/1.1 200 OK\r\nDate: today\r\n" + load;
    String end = "Connection: close\r\nContent-Length: 0\r\n\r\n";
    String refusal = "HTTP/1.1 503 Service Unavailable\r\n" + load + end;
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (int length = 0; length < success.length(); length++) {
        probeLoad(server.getLocalPort(), loads::add);
        respond(server, success.substring(0, length) + refusal, false);
      }
      probeLoad(server.getLocalPort(), loads::add);
      respond(server, success + end, false);
      assertThat(loads.poll(BOUND_MS, TimeUnit.MILLISECONDS)).isNotNull();
      assertThat(loads).isEmpty();
    }
  }

  private void assertTellsNoLoad(String head) throws Exception {
    BlockingQueue<EngineLoad> loads = new LinkedBlockingQueue<>();
    String end = "Connection: close\r\nContent-Length: 0\r\n\r\n";
    String valid = "HTTP/1.1 200 OK\r\n" + EngineHeaders.LOAD + ": " + LOAD + "\r\n" + end;
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (String response : List.of(head + end, valid)) {
        probeLoad(server.getLocalPort(), loads::add);
        respond(server, response, false);
      }
      assertThat(loads.poll(BOUND_MS, TimeUnit.MILLISECONDS))
          .isEqualTo(EngineLoad.parse(LOAD).orElseThrow());
      assertThat(loads).isEmpty();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 000 x", "HTTP/1.1 0200 OK", "HTTP/1.1 +200 OK", "HTTP/9.9 200 OK"})
  void invalidStatusLineTellsNoLoad(String statusLine) throws Exception {
    assertTellsNoLoad(
        statusLine + "\r\n" + EngineHeaders.LOAD + ": online=9;batch=9;waiting=9\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: 1",
        "X-Note : 1",
        "X Note",
        "Content-Length : 0",
        "X\u0001Note: 1",
        "X-Note\u007f: 1"
      })
  void invalidFieldNameTellsNoLoad(String line) throws Exception {
    String load = EngineHeaders.LOAD + ": online=9;batch=9;waiting=9\r\n";
    assertTellsNoLoad("HTTP/1.1 200 OK\r\n" + line + "\r\n" + load);
    assertTellsNoLoad("HTTP/1.1 200 OK\r\n" + load + line + "\r\n");
  }

  @Test
  void otherTransferCodingTellsNoLoad() throws Exception {
    String load = EngineHeaders.LOAD + ": online=9;batch=9;waiting=9\r\n";
    assertTellsNoLoad("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + load);
  }

  @Test
  void loadOfInvalidNameIsNotRead() throws Exception {
    assertTellsNoLoad("HTTP/1.1 200 OK\r\n" + EngineHeaders.LOAD + " : " + LOAD + "\r\n");
  }

  private static void respond(ServerSocket server, String response, boolean reset)
      throws IOException {
    try (Socket connection = server.accept()) {
      StringBuilder request = new StringBuilder();
      while (!request.toString().endsWith("\r\n\r\n")) {
        request.append((char) connection.getInputStream().read());
      }
      connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      connection.setSoLinger(reset, 0);
    }
  }
}
