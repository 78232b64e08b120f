package io.pathdeck.serving.http;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.settings.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server on the loopback interface whose connections are written and read byte by byte. */
final class LoopbackServer implements AutoCloseable {
  static final int MAX_BODY_LENGTH = 1 << 20;
  static final byte[] NO_BODY = {};
  private static final HttpLimits LIMITS =
      new HttpLimits(8_192, MAX_BODY_LENGTH, MAX_BODY_LENGTH, 10, 30_000);
  private static final int READ_TIMEOUT_MS = 10_000;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final BlockingQueue<HttpExchange> dispatched = new LinkedBlockingQueue<>();
  private final HttpServer server;
  private final int port;

  LoopbackServer() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    HostPort address = HostPort.parse("127.0.0.1:" + port).orElseThrow();
    server = new HttpServer(address, eventLoops, LIMITS, Optional.empty(), dispatched::add);
  }

  Socket connect(String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    send(socket, text);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Reads up to and including {@code end}. */
  static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf(end) < 0) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        throw new IOException("the connection ended after: " + text);
      }
      text.append((char) next);
    }
    return text.toString();
  }

  /** The next request that was read in full; fails if none comes. */
  HttpExchange nextRequest() throws InterruptedException {
    HttpExchange next = dispatched.poll(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    if (next == null) {
      throw new AssertionError("no request");
    }
    return next;
  }

  /** Whether a request comes within a moment. */
  boolean dispatchesAnother() throws InterruptedException {
    return dispatched.poll(200, TimeUnit.MILLISECONDS) != null;
  }

  @Override
  public void close() {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
