package io.pathdeck.common.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Wrong settings are named with their file, key and what was expected. */
class TestSettingsReader {
  private static SettingsReader reader(String yaml, Map<String, String> overrides) {
    return SettingsReader.parse("node.yaml", yaml, overrides).value();
  }

  @Test
  void readsValuesAndDefaults() {
    SettingsReader reader = reader("name: a\nport: 7", Map.of("port", "8"));
    assertThat(reader.string("name")).isEqualTo("a");
    assertThat(reader.integer("port", null, 1, 10)).as("flags override the file").isEqualTo(8);
    assertThat(reader.integer("other", 5, 1, 10)).isEqualTo(5);
    assertThat(reader.finish("done").isOk()).isTrue();
  }

  @Test
  void reportsAllProblemsAtOnce() {
    SettingsReader reader = reader("port: many\nsize: 99\nunknown: 1", Map.of());
    reader.string("name");
    reader.integer("port", null, 1, 10);
    reader.integer("size", null, 1, 10);
    Result<String, SettingsError> result = reader.finish("done");
    assertThat(result.isOk()).isFalse();
    String problems = String.join("\n", result.error().problems());
    assertThat(problems).contains("node.yaml").contains("name").contains("port").contains("size");
    assertThat(problems).contains("unknown");
  }

  @Property(tries = 300, seed = "11")
  void anyTextGivesSettingsOrATypedError(@ForAll String text) {
    Result<SettingsReader, SettingsError> result = SettingsReader.parse("x", text, Map.of());
    assertThat(result.isOk() || !result.error().problems().isEmpty()).isTrue();
  }
}
