package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/** Orders about a failure domain that come late. */
class DomainOrderSequenceTest {

  private static final FailureDomainId DOMAIN = new FailureDomainId("d1");
  private static final Term TERM = new Term(3);

  private final DomainOrderSequence orders = new DomainOrderSequence();

  private ScopeMessage.SwitchDomain order(boolean isOut, ScopeMessage.OrderPlace place) {
    return new ScopeMessage.SwitchDomain(DOMAIN, isOut, place);
  }

  private void accept(boolean isOut) {
    orders.accepted(order(isOut, orders.current(DOMAIN, TERM)));
  }

  /** Guards against an evacuation that a late resend repeats after it was taken back. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void delayedOrderDoesNotUndoNewerOrder(boolean isOut) {
    ScopeMessage.SwitchDomain late = order(isOut, orders.current(DOMAIN, TERM));
    accept(isOut);
    accept(!isOut);
    assertThat(orders.isSuperseded(late, TERM, !isOut)).isTrue();
  }

  /** Guards against a resend that is refused though it changes nothing. */
  @Test
  void resendOfLatestOrderIsAccepted() {
    ScopeMessage.SwitchDomain late = order(true, orders.current(DOMAIN, TERM));
    accept(true);
    assertThat(orders.isSuperseded(late, TERM, false)).isFalse();
  }

  /** Guards against an order of an earlier leader's time that undoes what this one found. */
  @Test
  void orderOfEarlierTermDoesNotUndoCurrentState() {
    ScopeMessage.SwitchDomain late = order(true, orders.current(DOMAIN, new Term(2)));
    assertThat(orders.isSuperseded(late, TERM, false)).isTrue();
    assertThat(orders.isSuperseded(late, TERM, true)).isFalse();
  }

  /** Guards against orders about one domain that hold up those about another. */
  @Test
  void orderForAnotherDomainSupersedesNothing() {
    ScopeMessage.SwitchDomain order = order(true, orders.current(DOMAIN, TERM));
    FailureDomainId other = new FailureDomainId("d2");
    orders.accepted(new ScopeMessage.SwitchDomain(other, true, orders.current(other, TERM)));
    assertThat(orders.isSuperseded(order, TERM, false)).isFalse();
  }
}
