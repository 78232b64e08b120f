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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

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
    String address = "127.0.0.1:" + engine.getAddress().getPort();
    CompletableFuture<EngineLoad> load = new CompletableFuture<>();
    probe.probe(new EngineSpec("engine-0", address, "z", "s", 4, false), load::complete);
    return load;
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
}
