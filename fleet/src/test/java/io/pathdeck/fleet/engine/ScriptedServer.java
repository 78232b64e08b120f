package io.pathdeck.fleet.engine;

import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/** Sends the given bytes, one text for each request, and ends the connection after the last one. */
public final class ScriptedServer implements AutoCloseable {
  /** Stands within a text where the rest is sent a little later. */
  public static final String PAUSE = "\0";

  private static final long PAUSE_NS = 100_000_000;

  private final ServerSocket server;
  private final Queue<String> responses = new ConcurrentLinkedQueue<>();
  private volatile boolean resets;

  /** Starts a server on a free port. */
  public ScriptedServer() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serveAll);
    thread.setDaemon(true);
    thread.start();
  }

  /** Sets what is sent to the next requests. */
  public void respond(String... texts) {
    responses.addAll(List.of(texts));
  }

  /** Ends connections by a reset from now on. */
  public void resetConnections() {
    resets = true;
  }

  /** The server as an engine with this id. */
  public EngineInstance engine(String id) {
    String address = "127.0.0.1:" + server.getLocalPort();
    return new EngineInstance(id, "s", address, "z", 4, false);
  }

  private void serveAll() {
    while (!server.isClosed()) {
      try (Socket connection = server.accept()) {
        serve(connection);
      } catch (IOException e) {
        // The client or the test closed the connection.
      }
    }
  }

  private void serve(Socket connection) throws IOException {
    boolean requested = readRequest(connection.getInputStream());
    while (requested && !responses.isEmpty()) {
      String[] parts = responses.poll().split(PAUSE, -1);
      for (int i = 0; i < parts.length; i++) {
        LockSupport.parkNanos(i * PAUSE_NS);
        connection.getOutputStream().write(parts[i].getBytes(StandardCharsets.UTF_8));
      }
      requested = !responses.isEmpty() && readRequest(connection.getInputStream());
    }
    connection.setSoLinger(resets, 0);
  }

  private static boolean readRequest(InputStream input) throws IOException {
    StringBuilder received = new StringBuilder();
    while (!received.toString().endsWith("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        return false;
      }
      received.append((char) next);
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
