package io.pathdeck.common.settings;

import java.util.List;

/** Why a settings file was not accepted: every problem found, each with its file and key. */
public record SettingsError(List<String> problems) {
  public SettingsError {
    problems = List.copyOf(problems);
  }

  @Override
  public String toString() {
    return String.join("\n", problems);
  }
}
