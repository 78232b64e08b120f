package io.pathdeck.fleet.member;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.control.PeerLink;
import io.pathdeck.control.PeerLinks;
import io.pathdeck.protocol.transport.FrameCompression;
import io.pathdeck.protocol.transport.FrameMeter;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportTls;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Connections to other processes by address, and the addresses of members. Thread-safe. */
public final class PeerPool implements PeerLinks, AutoCloseable {
  private final EventLoopGroup eventLoops;
  private final TransportTls tls;
  private final FrameCompression compression;
  private final Function<String, FrameMeter> meters;
  private final Map<String, PeerClient> clients = new ConcurrentHashMap<>();
  private final Map<Integer, String> addresses = new ConcurrentHashMap<>();

  /** Creates a pool; {@code meters} returns what counts the frames of an address. */
  public PeerPool(
      EventLoopGroup eventLoops,
      TransportTls tls,
      FrameCompression compression,
      Function<String, FrameMeter> meters) {
    this.meters = meters;
    this.eventLoops = eventLoops;
    this.tls = tls;
    this.compression = compression;
  }

  @Override
  public PeerLink to(int memberId) {
    String address = addresses.get(memberId);
    if (address == null) {
      return null;
    }
    return client(address).<PeerLink>map(client -> client::send).orElse(null);
  }

  @Override
  public void learn(int memberId, String address) {
    if (!address.equals(addresses.get(memberId))) {
      addresses.put(memberId, address);
    }
  }

  public Optional<String> addressOf(int memberId) {
    return Optional.ofNullable(addresses.get(memberId));
  }

  /** Returns the client of {@code address}, created at the first call; empty if it is invalid. */
  public Optional<PeerClient> client(String address) {
    PeerClient existing = clients.get(address);
    if (existing != null) {
      return Optional.of(existing);
    }
    return HostPort.parse(address)
        .map(
            parsed ->
                clients.computeIfAbsent(
                    address,
                    key ->
                        new PeerClient(
                            parsed, eventLoops, tls, compression, meters.apply(address))));
  }

  /** Returns the number of one-way messages dropped for lack of a connection or of buffer space. */
  public long droppedMessages() {
    return clients.values().stream().mapToLong(PeerClient::droppedMessages).sum();
  }

  @Override
  public void close() {
    clients.values().forEach(PeerClient::close);
  }
}
