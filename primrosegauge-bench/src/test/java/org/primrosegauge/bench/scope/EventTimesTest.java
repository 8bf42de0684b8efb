package org.primrosegauge.bench.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.primrosegauge.standin.scope.EventKind;

class EventTimesTest {

  /** Passes that counted as events would make each event look cheaper the more is planned. */
  @Test
  void planningIsChargedToTheEventsBefore() {
    EventTimes times = new EventTimes();
    times.begin();
    times.end(EventKind.COMMIT, 10);
    times.begin();
    times.end(EventKind.PLAN, 30);
    assertThat(times.events().getTotalCount()).isEqualTo(1);
    assertThat(times.passes().getTotalCount()).isEqualTo(1);
    assertThat(times.examinedPerEvent()).isEqualTo(40.0);
  }
}
