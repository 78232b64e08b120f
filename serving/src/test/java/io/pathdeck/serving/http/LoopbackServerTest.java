package io.pathdeck.serving.http;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Gives each test of a subclass a new server on loopback. */
@Timeout(20)
abstract class LoopbackServerTest {
  LoopbackServer server;

  @BeforeEach
  void startServer() throws Exception {
    server = new LoopbackServer();
  }

  @AfterEach
  void stopServer() {
    server.close();
  }

  /** A request without a body. */
  static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
}
