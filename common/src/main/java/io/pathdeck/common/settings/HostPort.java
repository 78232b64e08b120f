package io.pathdeck.common.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host (an IP number or a name) and a TCP port. */
public record HostPort(String host, int port) {
  private static final Pattern SYNTAX = Pattern.compile("([^:\\s]+):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  /** Parses {@code host:port}; empty when the text has another form. */
  public static Optional<HostPort> parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port > MAX_PORT) {
      return Optional.empty();
    }
    return Optional.of(new HostPort(matcher.group(1), port));
  }

  /** Whether the host is the loopback interface, where TLS is not required. */
  public boolean isLoopback() {
    return host.startsWith("127.") || host.equals("localhost");
  }

  /** The resolved socket address. */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(host, port);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
