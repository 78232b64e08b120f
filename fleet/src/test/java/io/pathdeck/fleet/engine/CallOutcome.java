package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.EngineResponse;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Receives a call to an engine and tells how it ended. */
public final class CallOutcome implements EngineListener {
  private final CompletableFuture<Optional<EngineFailure>> failure = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private EngineResponse response;

  /**
   * The head of the response, or nothing if there was none; to be called once the call has ended.
   */
  public Optional<EngineResponse> response() {
    return Optional.ofNullable(response);
  }

  /** The body as far as it was received; to be called once the call has ended. */
  public String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /** Returns why the call failed, or nothing if it did not, once it has ended. */
  public Optional<EngineFailure> failureWithin(long timeoutMs)
      throws InterruptedException, ExecutionException, TimeoutException {
    return failure.get(timeoutMs, TimeUnit.MILLISECONDS);
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
    failure.complete(Optional.empty());
  }

  @Override
  public void onFailure(EngineFailure cause, String reason) {
    failure.complete(Optional.of(cause));
  }
}
