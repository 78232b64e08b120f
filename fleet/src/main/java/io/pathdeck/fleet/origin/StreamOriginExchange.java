package io.pathdeck.fleet.origin;

import io.netty.channel.EventLoop;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.protocol.message.FindStreamOrigin;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.RecordStreamOrigins;
import io.pathdeck.protocol.message.StreamOriginReply;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportError;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps origins of streams for other gateways, tells them this gateway's and asks them; confined to
 * the event loop.
 *
 * <p>Each origin is told to {@value #KEEPERS} gateways, so that it outlives this one, and to
 * {@value #STORE_KEEPERS} store, so that it outlives all gateways. More are asked than are told:
 * while processes come and go, their views of the fleet differ.
 */
public final class StreamOriginExchange {
  static final int KEEPERS = 3;
  static final int MAX_ASKED = 8;
  static final int STORE_KEEPERS = 1;
  static final int MAX_STORES_ASKED = 2;

  /** Several round trips between zones; callers that return wait for it only if nobody knows. */
  static final long LOOKUP_TIMEOUT_MS = 250;

  private static final int MAX_RECORDS_PER_MESSAGE = 500;

  /**
   * The result of a lookup.
   *
   * @param found the origin; empty if no process that answered knows the stream
   * @param asked the number of processes that were asked
   * @param answered the number of processes that answered
   */
  record Lookup(Optional<StreamOriginRecord> found, int asked, int answered) {}

  private final EventLoop eventLoop;
  private final PeerPool pool;
  private final String selfName;
  private final StreamOriginKeeper keeper;
  private KeeperRanking peers = new KeeperRanking(List.of());
  private KeeperRanking readyPeers = peers;
  private KeeperRanking stores = peers;

  StreamOriginExchange(
      EventLoop eventLoop, PeerPool pool, String selfName, StreamOriginTable table) {
    this.eventLoop = eventLoop;
    this.pool = pool;
    this.selfName = selfName;
    this.keeper = new StreamOriginKeeper(eventLoop, table);
  }

  /** Applies the other gateways and the stores of a new view. */
  void onChange(FleetView view) {
    List<FleetProcess> others =
        view.withRole(FleetRole.GATEWAY).stream()
            .filter(gateway -> !gateway.name().equals(selfName))
            .filter(gateway -> !gateway.peerAddress().isEmpty())
            .toList();
    peers = new KeeperRanking(others);
    readyPeers = new KeeperRanking(others.stream().filter(FleetProcess::ready).toList());
    stores =
        new KeeperRanking(
            view.withRole(FleetRole.STORE).stream()
                .filter(store -> !store.peerAddress().isEmpty())
                .toList());
  }

  /** Handles a message of another gateway; thread-safe. */
  public void onMessage(Message message, ReplySink replySink) {
    if (!keeper.onMessage(message, replySink)) {
      replySink.reply(new Unavailable("not a message of gateways", false));
    }
  }

  /** Tells the keepers where streams began. */
  void tell(List<StreamOriginRecord> records) {
    Map<String, List<StreamOriginRecord>> byAddress = new HashMap<>();
    for (StreamOriginRecord each : records) {
      for (FleetProcess process : keepersOf(each.stream())) {
        byAddress.computeIfAbsent(process.peerAddress(), address -> new ArrayList<>()).add(each);
      }
    }
    byAddress.forEach(this::send);
  }

  private List<FleetProcess> keepersOf(long stream) {
    List<FleetProcess> keepers = new ArrayList<>(readyPeers.first(stream, KEEPERS));
    keepers.addAll(stores.first(stream, STORE_KEEPERS));
    return keepers;
  }

  private void send(String address, List<StreamOriginRecord> records) {
    Optional<PeerClient> client = pool.client(address);
    for (int from = 0; from < records.size(); from += MAX_RECORDS_PER_MESSAGE) {
      int to = Math.min(records.size(), from + MAX_RECORDS_PER_MESSAGE);
      RecordStreamOrigins message = new RecordStreamOrigins(records.subList(from, to));
      client.ifPresent(each -> each.send(message));
    }
  }

  /** Asks the probable keepers of a stream; {@code callback} runs once, on the event loop. */
  void find(long stream, Consumer<Lookup> callback) {
    List<PeerClient> keepers = new ArrayList<>();
    List<FleetProcess> probable = new ArrayList<>(peers.first(stream, MAX_ASKED));
    probable.addAll(stores.first(stream, MAX_STORES_ASKED));
    for (FleetProcess process : probable) {
      pool.client(process.peerAddress()).ifPresent(keepers::add);
    }
    PendingLookup lookup = new PendingLookup(keepers.size(), callback);
    if (keepers.isEmpty()) {
      lookup.finish(Optional.empty());
      return;
    }
    eventLoop.schedule(
        () -> lookup.finish(Optional.empty()), LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    for (PeerClient client : keepers) {
      client
          .request(new FindStreamOrigin(stream), LOOKUP_TIMEOUT_MS)
          .thenAcceptAsync(lookup::onReply, eventLoop);
    }
  }

  /** Collects the answers to one lookup. */
  static final class PendingLookup {
    private final int asked;
    private final Consumer<Lookup> callback;
    private int ended;
    private int answered;
    private boolean finished;

    PendingLookup(int asked, Consumer<Lookup> callback) {
      this.asked = asked;
      this.callback = callback;
    }

    void onReply(Result<Message, TransportError> result) {
      ended++;
      if (result.isOk() && result.value() instanceof StreamOriginReply reply) {
        answered++;
        if (reply.record() != null && reply.record().hasBegun()) {
          finish(Optional.of(reply.record()));
        }
      }
      if (ended == asked) {
        finish(Optional.empty());
      }
    }

    void finish(Optional<StreamOriginRecord> found) {
      if (!finished) {
        finished = true;
        callback.accept(new Lookup(found, asked, answered));
      }
    }
  }
}
