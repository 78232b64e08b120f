package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;
import io.pathdeck.serving.engine.EngineRequest;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.AnswerEvents;
import io.pathdeck.testkit.engine.EmulatedText;
import io.pathdeck.testkit.engine.EngineModel;
import io.pathdeck.testkit.engine.PrefixCache;
import io.pathdeck.testkit.engine.Sequence;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** An engine on virtual time. Its record of what it started is the oracle's witness. */
final class SimEngine extends SimProcess {
  private static final Pattern EVENT_ID = Pattern.compile("(?m)^id: \\d+\\n");
  private static final long HANG_POLL_MS = 20;
  private static final long CANCEL_POLL_MS = 400;
  private static final int SLOWDOWN = 20;
  private static final int REFUSED_STATUS = 503;
  private static final long REFUSED_RETRY_MS = 300;

  /** How the engine misbehaves. */
  enum Mode {
    NORMAL,
    HANG,
    SLOW,
    TRUNCATE,
    REFUSE
  }

  private final SimFleet fleet;
  private EngineModel model;
  private Mode mode = Mode.NORMAL;
  private boolean leaving;
  private boolean stepping;
  private EngineLoad reported = new EngineLoad(0, 0, 0);

  SimEngine(String name, SimFleet fleet) {
    super(name, fleet.simulation());
    this.fleet = fleet;
  }

  @Override
  List<Duty> boot() {
    boolean honourPriority =
        fleet.shape().honourPriority() && !fleet.hasDefect(Defect.PRIORITY_IGNORED);
    model =
        new EngineModel(
            fleet.shape().profile(),
            new PrefixCache(fleet.shape().profile().cacheBlocks(), (kind, block) -> {}),
            honourPriority);
    mode = Mode.NORMAL;
    leaving = false;
    stepping = false;
    reported = new EngineLoad(0, 0, 0);
    return List.of();
  }

  void setMode(Mode next) {
    mode = next;
  }

  void setLeaving(boolean next) {
    leaving = next;
  }

  boolean isIdle() {
    return !isAlive() || model.isIdle();
  }

  /** Takes a call that has arrived over the network. */
  void accept(SimCall call) {
    if (mode == Mode.REFUSE || leaving) {
      call.sendFailure(new AttemptFailure.Refused(REFUSED_STATUS, leaving, REFUSED_RETRY_MS));
      return;
    }
    EngineRequest request = call.request();
    ObjectNode body = Json.parseObject(request.body()).orElse(Json.object());
    AnswerEvents events = AnswerEvents.ofChat(body, request.responseId(), request.resumeAfter());
    int answerTokens = EmulatedText.answerTokens(body);
    Output output = new Output(call, events, request.resumeAfter());
    Sequence sequence =
        new Sequence(
            request.attemptId(),
            request.priority(),
            PrefixCache.blocksOf(EmulatedText.promptText(body)),
            EmulatedText.promptTokens(body),
            answerTokens,
            request.resumeAfter(),
            output);
    call.onCancel(() -> cancelWhenResponsive(sequence));
    if (request.resumeAfter() >= answerTokens) {
      output.onNothingLeft(sequence);
      return;
    }
    if (!model.submit(sequence)) {
      call.sendFailure(new AttemptFailure.Refused(REFUSED_STATUS, false, REFUSED_RETRY_MS));
      return;
    }
    fleet.oracle().onEngineStarted(name, request, EmulatedText.promptText(body));
    call.sendLoad(reported);
    startStepping();
  }

  /** Reports the load as of a while ago. */
  EngineLoad laggingLoad() {
    return reported;
  }

  /** A hanging engine notices a cancel only some time after it has come back. */
  private void cancelWhenResponsive(Sequence sequence) {
    if (mode == Mode.HANG) {
      later(CANCEL_POLL_MS, () -> cancelWhenResponsive(sequence));
    } else {
      model.cancel(sequence);
    }
  }

  private void startStepping() {
    if (!stepping) {
      stepping = true;
      nextStep();
    }
  }

  private void nextStep() {
    if (mode == Mode.HANG) {
      later(HANG_POLL_MS, this::nextStep);
      return;
    }
    if (model.isIdle()) {
      stepping = false;
      rememberLoad();
      return;
    }
    long micros = model.beginStep();
    if (fleet.shape().honourPriority() && model.onlineWaitsBehindBatch()) {
      fleet
          .oracle()
          .violation(Promise.ONLINE_NEVER_BEHIND_BATCH, name + " runs batch while online waits");
    }
    long factor = mode == Mode.SLOW ? SLOWDOWN : 1;
    int life = life();
    simulation.scheduleNs(
        TimeUnit.MICROSECONDS.toNanos(micros * factor),
        () -> {
          if (life == life()) {
            deliver(this::finishStep);
          }
        });
  }

  private void finishStep() {
    model.endStep();
    rememberLoad();
    nextStep();
  }

  private void rememberLoad() {
    EngineLoad load = model.load();
    later(fleet.shape().profile().loadLagMs(), () -> reported = load);
  }

  /** Sends what is generated to the caller. */
  private final class Output implements Sequence.Output {
    private final SimCall call;
    private final AnswerEvents events;
    private final int resumeAfter;

    Output(SimCall call, AnswerEvents events, int resumeAfter) {
      this.call = call;
      this.events = events;
      this.resumeAfter = resumeAfter;
    }

    @Override
    public void onToken(Sequence sequence, int offset, boolean last) {
      boolean middle = offset > resumeAfter + (sequence.answerTokens - resumeAfter) / 2;
      if (mode == Mode.TRUNCATE && middle) {
        model.cancel(sequence);
        call.sendBroken("the stream ended without its end marker");
        return;
      }
      StringBuilder text = new StringBuilder();
      if (offset == resumeAfter + 1) {
        events.appendOpening(text);
      }
      events.appendToken(text, offset);
      if (last) {
        events.appendClosing(text, offset);
      }
      call.sendEvents(dataLines(text), 1);
      call.sendLoad(reported);
      if (last) {
        call.sendCompleted();
      }
    }

    /** The events as an engine client reports them: without their ids. */
    private static byte[] dataLines(StringBuilder text) {
      String lines = EVENT_ID.matcher(text).replaceAll("");
      return lines.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void onNothingLeft(Sequence sequence) {
      StringBuilder text = new StringBuilder();
      events.appendClosing(text, sequence.answerTokens);
      call.sendEvents(dataLines(text), 0);
      call.sendCompleted();
    }
  }
}
