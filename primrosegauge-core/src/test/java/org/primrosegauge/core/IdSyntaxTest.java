package org.primrosegauge.core;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdSyntaxTest {

  @ParameterizedTest
  @ValueSource(strings = {"klang", "lakes-west", "a", "9", "kutipan-core.v2_x"})
  void acceptsWellFormedIds(String text) throws InvalidInputException {
    assertThat(CustomerId.parse(text, "here").value()).isEqualTo(text);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "-a", "A", "a b", "a/b", "../x", "é"})
  void rejectsMalformedIdsWithLocationAndRemedy(String text) {
    InvalidInputException error =
        assertThrows(InvalidInputException.class, () -> CustomerId.parse(text, "site.toml:3"));
    assertThat(error).hasMessageThat().contains("site.toml:3");
    assertThat(error).hasMessageThat().contains("remedy: use 1 to 64 characters");
  }
}
