package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/** Orders for a failure domain that arrive late. */
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

  /** Guards against a delayed resend that repeats an evacuation after it was revoked. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void delayedOrderDoesNotUndoNewerOrder(boolean isOut) {
    ScopeMessage.SwitchDomain delayed = order(isOut, orders.current(DOMAIN, TERM));
    accept(isOut);
    accept(!isOut);
    assertThat(orders.isSuperseded(delayed, TERM, !isOut)).isTrue();
  }

  /** Guards against refusing a resend that changes nothing. */
  @Test
  void resendOfLatestOrderIsAccepted() {
    ScopeMessage.SwitchDomain delayed = order(true, orders.current(DOMAIN, TERM));
    accept(true);
    assertThat(orders.isSuperseded(delayed, TERM, false)).isFalse();
  }

  /** Guards against an order from an earlier leader's term that undoes the current state. */
  @Test
  void orderOfEarlierTermDoesNotUndoCurrentState() {
    ScopeMessage.SwitchDomain delayed = order(true, orders.current(DOMAIN, new Term(2)));
    assertThat(orders.isSuperseded(delayed, TERM, false)).isTrue();
    assertThat(orders.isSuperseded(delayed, TERM, true)).isFalse();
  }

  /** Guards against orders for one domain that block orders for another. */
  @Test
  void orderForAnotherDomainSupersedesNothing() {
    ScopeMessage.SwitchDomain order = order(true, orders.current(DOMAIN, TERM));
    FailureDomainId other = new FailureDomainId("d2");
    orders.accepted(new ScopeMessage.SwitchDomain(other, true, orders.current(other, TERM)));
    assertThat(orders.isSuperseded(order, TERM, false)).isFalse();
  }
}
