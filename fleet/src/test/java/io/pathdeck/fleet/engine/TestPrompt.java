package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.CallerRequest.PromptPart;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestPrompt {
  private static PromptPart part(String id, long tokens) {
    return new PromptPart(id, tokens);
  }

  @Test
  void lastPartIsNotShared() {
    Prompt prompt = Prompt.of(1_460, List.of(part("a", 800), part("b", 410), part("c", 250)));
    assertThat(prompt).isEqualTo(new Prompt(1_460, "b", 1_210));
  }

  @Test
  void fewerThanTwoPartsShareNothing() {
    assertThat(Prompt.of(500, List.of())).isEqualTo(new Prompt(500, "", 0));
    assertThat(Prompt.of(500, List.of(part("a", 500)))).isEqualTo(new Prompt(500, "", 0));
  }

  @Test
  void prefixIsNeverLongerThanThePrompt() {
    Prompt prompt = Prompt.of(100, List.of(part("a", 800), part("b", 1)));
    assertThat(prompt.sharedPrefixTokens()).isEqualTo(100);
  }
}
