package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/** Orders about a failure domain that come late. */
class OrderPlacesTest {

  private static final FailureDomainId DOMAIN = new FailureDomainId("d1");
  private static final Term TERM = new Term(3);

  private final OrderPlaces places = new OrderPlaces();

  private ScopeMessage.SwitchDomain order(boolean isOut, ScopeMessage.OrderPlace place) {
    return new ScopeMessage.SwitchDomain(DOMAIN, isOut, place);
  }

  private void take(boolean isOut) {
    places.taken(order(isOut, places.present(DOMAIN, TERM)));
  }

  /** Guards against an evacuation that a late resend repeats after it was taken back. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void lateOrderDoesNotUndoNewerOne(boolean isOut) {
    ScopeMessage.SwitchDomain late = order(isOut, places.present(DOMAIN, TERM));
    take(isOut);
    take(!isOut);
    assertThat(places.isOvertaken(late, TERM, !isOut)).isTrue();
  }

  /** Guards against a resend that is refused though it changes nothing. */
  @Test
  void resendOfTheLastOrderIsTaken() {
    ScopeMessage.SwitchDomain late = order(true, places.present(DOMAIN, TERM));
    take(true);
    assertThat(places.isOvertaken(late, TERM, false)).isFalse();
  }

  /** Guards against an order of an earlier leader's time that undoes what this one found. */
  @Test
  void orderOfAnEarlierTermDoesNotUndoWhatIsInForce() {
    ScopeMessage.SwitchDomain late = order(true, places.present(DOMAIN, new Term(2)));
    assertThat(places.isOvertaken(late, TERM, false)).isTrue();
    assertThat(places.isOvertaken(late, TERM, true)).isFalse();
  }

  /** Guards against orders about one domain that hold up those about another. */
  @Test
  void orderAboutAnotherDomainOvertakesNothing() {
    ScopeMessage.SwitchDomain order = order(true, places.present(DOMAIN, TERM));
    FailureDomainId other = new FailureDomainId("d2");
    places.taken(new ScopeMessage.SwitchDomain(other, true, places.present(other, TERM)));
    assertThat(places.isOvertaken(order, TERM, false)).isFalse();
  }
}
