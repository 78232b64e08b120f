package io.pathdeck.common.result;

import java.util.NoSuchElementException;
import java.util.function.Function;

/**
 * The outcome of an operation that can fail in a way its caller must handle.
 *
 * @param <T> the value of a success
 * @param <E> the error type of the layer that returns the result
 */
public sealed interface Result<T, E> {

  /** A success. */
  record Ok<T, E>(T value) implements Result<T, E> {}

  /** A failure, described by the error type of the layer that returned it. */
  record Err<T, E>(E error) implements Result<T, E> {}

  /** Returns a success holding {@code value}. */
  static <T, E> Result<T, E> ok(T value) {
    return new Ok<>(value);
  }

  /** Returns a failure holding {@code error}. */
  static <T, E> Result<T, E> err(E error) {
    return new Err<>(error);
  }

  /** Whether this is a success. */
  default boolean isOk() {
    return this instanceof Ok;
  }

  /** The value of a success; throws {@link NoSuchElementException} on a failure. */
  default T value() {
    if (this instanceof Ok<T, E> ok) {
      return ok.value();
    }
    throw new NoSuchElementException("not a success: " + this);
  }

  /** The error of a failure; throws {@link NoSuchElementException} on a success. */
  default E error() {
    if (this instanceof Err<T, E> err) {
      return err.error();
    }
    throw new NoSuchElementException("not a failure: " + this);
  }

  /** Turns the error of a lower layer into that of the calling layer. */
  default <F> Result<T, F> mapError(Function<? super E, ? extends F> mapper) {
    if (this instanceof Ok<T, E> ok) {
      return new Ok<>(ok.value());
    }
    return new Err<>(mapper.apply(error()));
  }

  /** Transforms the value of a success. */
  default <U> Result<U, E> map(Function<? super T, ? extends U> mapper) {
    if (this instanceof Ok<T, E> ok) {
      return new Ok<>(mapper.apply(ok.value()));
    }
    return new Err<>(error());
  }
}
