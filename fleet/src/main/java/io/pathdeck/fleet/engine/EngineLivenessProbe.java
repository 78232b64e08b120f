package io.pathdeck.fleet.engine;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Determines whether an engine is down or only a connection to it was lost; confined to the event
 * loop.
 *
 * <p>Resets, corrupt responses and network partitions also break connections to running engines, so
 * the probe requests the engine's load on a new connection. The engine is down if its address
 * refuses connections and no other connection to it is open, also a little later, if another engine
 * responds there, or if it reports a different start time. It runs if it responds; anything else
 * leaves the result unknown. An open connection is no response: its end may still be on the way.
 */
public final class EngineLivenessProbe {
  /** Whether an engine instance is still running. */
  public enum Verdict {
    /** The instance is down, or another one has replaced it. */
    ENDED,
    /** Another life of the engine runs under its id. */
    RESTARTED,
    /** The instance responded. */
    ALIVE,
    /** The probe timed out, was refused while other connections are open, or failed otherwise. */
    UNKNOWN;

    /** Whether the instance that was checked no longer runs. */
    public boolean isCrash() {
      return this == ENDED || this == RESTARTED;
    }
  }

  /**
   * What a probe has found.
   *
   * @param bornMs when the life that responded began, in Unix milliseconds; {@link
   *     EngineInstance#BORN_UNKNOWN} if none did or it did not tell
   */
  public record Result(Verdict verdict, long bornMs) {
    private static Result of(Verdict verdict) {
      return new Result(verdict, EngineInstance.BORN_UNKNOWN);
    }

    /** Whether the life that responded has run at least since this time, in Unix milliseconds. */
    public boolean hasRunSince(long unixMs) {
      return verdict == Verdict.ALIVE || (verdict == Verdict.RESTARTED && bornMs <= unixMs);
    }
  }

  private static final int OK = 200;

  /** Limits all attempts together; a running engine responds within a few milliseconds. */
  public static final long TIMEOUT_MS = 500;

  /** The port and the connections of an engine that crashes do not all close at the same moment. */
  private static final int MAX_ATTEMPTS = 3;

  private static final long RETRY_DELAY_MS = 25;

  private final EventLoop eventLoop;
  private final NettyEngineTransport transport;
  private final EngineProtocol protocol;
  private final Map<String, Round> rounds = new HashMap<>();

  /** Creates a probe that sends its requests over {@code transport}. */
  public EngineLivenessProbe(
      EventLoop eventLoop, NettyEngineTransport transport, EngineProtocol protocol) {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.protocol = protocol;
  }

  /** The checks of an engine instance that one probe answers, and those that came too late. */
  private static final class Round {
    private final List<Consumer<Result>> receivers = new ArrayList<>();
    private final List<Consumer<Result>> lateReceivers = new ArrayList<>();
    private boolean sent;
  }

  /**
   * Passes what is found about an engine instance to {@code receiver}. Checks of an instance share
   * a probe that was not sent yet: a response to an earlier one may be older than the reason for
   * the check.
   */
  public void check(EngineInstance engine, Consumer<Result> receiver) {
    Round round = rounds.get(engine.lifeId());
    if (round == null) {
      startRound(engine, List.of(receiver));
    } else if (round.sent) {
      round.lateReceivers.add(receiver);
    } else {
      round.receivers.add(receiver);
    }
  }

  private void startRound(EngineInstance engine, List<Consumer<Result>> receivers) {
    Round round = new Round();
    round.receivers.addAll(receivers);
    rounds.put(engine.lifeId(), round);
    // Lets the event loop first process the closing of the engine's other connections.
    eventLoop.execute(
        () -> {
          round.sent = true;
          new Probe(engine).send();
        });
  }

  /**
   * Whether an engine that just refused a connection counts as down: this process has no open
   * connection to it. Otherwise the engine may only have reached its connection limit.
   */
  public boolean isDownAfterRefusal(EngineInstance engine) {
    return transport.openConnections(engine) == 0;
  }

  private void notifyReceivers(EngineInstance engine, Result result) {
    Round round = rounds.remove(engine.lifeId());
    if (result.verdict() == Verdict.ENDED) {
      round.receivers.addAll(round.lateReceivers);
    } else if (!round.lateReceivers.isEmpty()) {
      startRound(engine, round.lateReceivers);
    }
    round.receivers.forEach(receiver -> receiver.accept(result));
  }

  /** Requests the load of one engine; retries if the connection is lost. */
  private final class Probe implements EngineListener {
    private final EngineInstance engine;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EngineResponse response;
    private EngineTransport.Handle handle;
    private int attempts;
    private boolean decided;

    Probe(EngineInstance engine) {
      this.engine = engine;
    }

    void send() {
      attempts++;
      body.reset();
      EngineCall call = EngineLoadClient.reportCall(protocol, engine);
      handle = transport.startOnNewConnection(call, this);
      if (attempts == 1) {
        eventLoop.schedule(this::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void onRefused() {
      if (isDownAfterRefusal(engine)) {
        finish(Verdict.ENDED);
      } else if (attempts < MAX_ATTEMPTS) {
        eventLoop.schedule(this::sendUnlessDecided, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
      } else {
        finish(Verdict.UNKNOWN);
      }
    }

    /** A port that closes while the connection is made resets it; the next one is refused. */
    private boolean isWorthRetry(EngineFailure failure) {
      return failure.isLostConnection() || failure == EngineFailure.NOT_SENT;
    }

    private void sendUnlessDecided() {
      if (!decided) {
        send();
      }
    }

    private void onTimeout() {
      if (!decided) {
        handle.cancel();
        finish(Verdict.UNKNOWN);
      }
    }

    private void finish(Verdict verdict) {
      finish(Result.of(verdict));
    }

    private void finish(Result result) {
      if (!decided) {
        decided = true;
        notifyReceivers(engine, result);
      }
    }

    @Override
    public void onHead(EngineResponse head) {
      response = head;
    }

    @Override
    public void onBody(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      if (response.wrongInstance()) {
        finish(Verdict.ENDED);
      } else if (response.status() == OK) {
        long bornMs =
            protocol
                .readReport(body.toByteArray())
                .map(EngineLoadReport::bornMs)
                .orElse(EngineInstance.BORN_UNKNOWN);
        Verdict verdict = engine.isOtherLife(bornMs) ? Verdict.RESTARTED : Verdict.ALIVE;
        finish(new Result(verdict, bornMs));
      } else {
        finish(Verdict.ALIVE);
      }
    }

    /** A report that was cut off cannot be parsed. */
    @Override
    public void onClose() {
      onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure == EngineFailure.CONNECTION_REFUSED) {
        onRefused();
      } else if (isWorthRetry(failure) && attempts < MAX_ATTEMPTS) {
        eventLoop.schedule(this::sendUnlessDecided, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
      } else {
        finish(Verdict.UNKNOWN);
      }
    }
  }
}
