package org.primrosegauge.node.keeper;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JobDeskTest {

  @ParameterizedTest
  @CsvSource({
    "refused-customer for 0 s, configure the customer",
    "refused-quota, raise the customer's quota",
    "refused-gang-size for 3 s, make the gang or its tasks smaller",
    "refused-adjacency, name a larger failure domain"
  })
  void remedyFitsTheReason(String reason, String expected) {
    assertThat(JobDesk.remedy(reason)).contains(expected);
  }
}
