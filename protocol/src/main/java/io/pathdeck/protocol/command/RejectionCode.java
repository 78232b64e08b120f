package io.pathdeck.protocol.command;

/** Why a command was rejected. */
public enum RejectionCode {
  NOT_FOUND,
  INVALID,
  CONFLICT,
  TOO_LARGE
}
