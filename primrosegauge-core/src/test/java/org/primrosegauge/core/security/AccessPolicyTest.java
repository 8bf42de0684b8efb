package org.primrosegauge.core.security;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;

class AccessPolicyTest {

  private static final CustomerId OWNER = new CustomerId("dealers");

  @ParameterizedTest
  @CsvSource({
    "operator,          true,  true,  false, false",
    "customer:dealers,  true,  false, false, false",
    "customer:lenders,  false, false, false, false",
    "target,            false, false, true,  false",
    "peer,              false, false, false, true"
  })
  void allowsOnlyWhatTheScopeNames(
      String scope, boolean job, boolean operate, boolean report, boolean exchange) {
    Caller caller = new Caller("test", Set.of(Scope.parse(scope).orElseThrow()));

    for (Operation operation : Operation.values()) {
      boolean expected =
          switch (operation) {
            case REPORT_TARGET -> report;
            case EXCHANGE_STATE -> exchange;
            default -> operation.concernsCustomer() ? job : operate;
          };
      assertThat(isAllowed(caller, operation)).isEqualTo(expected);
    }
  }

  @ParameterizedTest
  @EnumSource(names = {"READ_JOB", "CANCEL_JOB"})
  void jobOfAnotherCustomerLooksAbsent(Operation operation) {
    Caller caller = new Caller("test", Set.of(Scope.of(new CustomerId("lenders"))));
    NotFoundException absent = new NotFoundException("no job", "list jobs", "");

    assertThat(
            assertThrows(
                NotFoundException.class,
                () -> AccessPolicy.checkJob(caller, operation, OWNER, absent)))
        .isSameInstanceAs(absent);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "root", "customer:", "customer:A", "Operator", "target:x"})
  void refusesOtherScopes(String text) {
    assertThat(Scope.parse(text)).isEqualTo(Optional.empty());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Basic secret", "Bearer", "Bearer ", "Bearer wrong", "secret"})
  void refusesUnknownTokensWithoutNamingThem(String header) {
    PrimrosegaugeException error =
        assertThrows(
            PrimrosegaugeException.class, () -> Authenticator.authenticate(table(), header));

    assertThat(error.kind()).isEqualTo(ErrorKind.UNAUTHENTICATED);
    assertThat(error).hasMessageThat().doesNotContain("wrong");
  }

  @Test
  void findsTheHolderAndShowsNoDigest() throws PrimrosegaugeException {
    assertThat(Authenticator.authenticate(table(), "bearer secret").name()).isEqualTo("desk");
    assertThat(table().toString()).doesNotContain(TokenDigest.ofToken("secret").hex());
  }

  private static TokenTable table() {
    Caller desk = new Caller("desk", Set.of(Scope.of(OWNER)));
    return new TokenTable(List.of(new TokenTable.Grant(TokenDigest.ofToken("secret"), desk)));
  }

  private static boolean isAllowed(Caller caller, Operation operation) {
    try {
      if (operation.concernsCustomer()) {
        AccessPolicy.check(caller, operation, OWNER);
      } else {
        AccessPolicy.check(caller, operation);
      }
      return true;
    } catch (PrimrosegaugeException e) {
      assertThat(e.kind()).isEqualTo(ErrorKind.FORBIDDEN);
      return false;
    }
  }
}
