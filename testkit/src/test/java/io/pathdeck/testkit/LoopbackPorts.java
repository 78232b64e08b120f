package io.pathdeck.testkit;

import io.pathdeck.common.settings.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands out free ports of the loopback address, each once in a process.
 *
 * <p>They lie below the ports that the system gives to outgoing connections and to listeners on
 * port 0. So nothing takes a port between the moment it is handed out and its process's start.
 */
final class LoopbackPorts {
  static final int FIRST = 20_000;
  static final int END = 32_000;

  private static final String LOOPBACK = "127.0.0.1";

  /** Processes that run beside each other begin at different ports. */
  private static final int STRIDE = 100;

  private static int next = FIRST + (int) (ProcessHandle.current().pid() * STRIDE % (END - FIRST));

  private LoopbackPorts() {}

  /** The addresses of {@code count} free ports that were not handed out before. */
  static synchronized List<HostPort> take(int count) {
    List<HostPort> addresses = new ArrayList<>();
    for (int tries = END - FIRST; addresses.size() < count; tries--) {
      if (tries == 0) {
        throw new IllegalStateException("no free port from " + FIRST + " to " + END);
      }
      int port = next;
      next = port + 1 < END ? port + 1 : FIRST;
      if (isFree(port)) {
        addresses.add(new HostPort(LOOPBACK, port));
      }
    }
    return addresses;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException taken) {
      return false;
    }
  }
}
