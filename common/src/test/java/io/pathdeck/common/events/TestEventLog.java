package io.pathdeck.common.events;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TestEventLog {
  private static final long SECOND_NS = TimeUnit.SECONDS.toNanos(1);

  @Test
  void lineIsOneJsonObjectWithTypedFields() throws Exception {
    String line =
        EventLog.line(
            EventCode.REQUEST_FAILED,
            new IllegalStateException("why \"quoted\""),
            "request",
            "a\nb",
            "sends",
            2,
            "first",
            true);
    assertThat(line).doesNotContain("\n");
    JsonNode read = new ObjectMapper().readTree(line);
    assertThat(read.path("code").asText()).isEqualTo("PD-3106");
    assertThat(read.path("event").asText()).isEqualTo("request-failed");
    assertThat(read.path("request").asText()).isEqualTo("a\nb");
    assertThat(read.path("sends").isInt()).isTrue();
    assertThat(read.path("first").asBoolean()).isTrue();
    assertThat(read.path("cause").asText()).contains("quoted");
  }

  @Test
  void linesOfRequestsAreLimitedAndWhatIsLeftOutIsTold() {
    LineBudget budget = new LineBudget();
    int written = 0;
    for (int i = 0; i < 1_000; i++) {
      written += budget.ask(EventCode.REQUEST_FAILED, SECOND_NS).mayWrite() ? 1 : 0;
    }
    assertThat(written).isEqualTo(LineBudget.LINES_PER_SECOND);
    LineBudget.Decision next = budget.ask(EventCode.REQUEST_FAILED, 3 * SECOND_NS);
    assertThat(next.mayWrite()).isTrue();
    assertThat(next.leftOutBefore()).isEqualTo(1_000 - LineBudget.LINES_PER_SECOND);
  }

  @Test
  void changesOfBeliefAreNeverLeftOut() {
    LineBudget budget = new LineBudget();
    for (int i = 0; i < 1_000; i++) {
      assertThat(budget.ask(EventCode.ROLE_CHANGED, SECOND_NS).mayWrite()).isTrue();
    }
  }
}
