package io.pathdeck.serving.http;

/** A URI cannot be decoded; the caller gets an error if a handler lets it pass. */
final class MalformedUriException extends RuntimeException {
  MalformedUriException(IllegalArgumentException cause) {
    super("the URI is malformed: " + cause.getMessage(), cause);
  }
}
