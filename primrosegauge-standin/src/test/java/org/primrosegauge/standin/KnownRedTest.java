package org.primrosegauge.standin;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

class KnownRedTest {

  /** An entry that outlives its test would hide the next test of that name. */
  @Test
  void listsOnlyTestsThatExist() throws ClassNotFoundException {
    for (String name : KnownRedCondition.names()) {
      String[] parts = name.split("#");
      boolean exists =
          Arrays.stream(Class.forName(parts[0]).getDeclaredMethods())
              .anyMatch(method -> method.getName().equals(parts[1]));
      assertWithMessage(name).that(exists).isTrue();
    }
  }
}
