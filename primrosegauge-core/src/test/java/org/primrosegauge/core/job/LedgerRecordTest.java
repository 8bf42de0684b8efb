package org.primrosegauge.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.site.Adjacency;

class LedgerRecordTest {

  private static final String SEED = "20261203";

  @Property(seed = SEED)
  void mergeIsCommutative(@ForAll("records") LedgerRecord a, @ForAll("records") LedgerRecord b) {
    assertThat(a.merge(b)).isEqualTo(b.merge(a));
  }

  @Property(seed = SEED)
  void mergeIsAssociative(
      @ForAll("records") LedgerRecord a,
      @ForAll("records") LedgerRecord b,
      @ForAll("records") LedgerRecord c) {
    assertThat(a.merge(b).merge(c)).isEqualTo(a.merge(b.merge(c)));
  }

  @Property(seed = SEED)
  void mergeIsIdempotent(@ForAll("records") LedgerRecord a, @ForAll("records") LedgerRecord b) {
    assertThat(a.merge(a)).isEqualTo(a);
    assertThat(a.merge(b).merge(b)).isEqualTo(a.merge(b));
  }

  @Property(seed = SEED)
  void mergeKeepsOutcomeAndHighestStartedAttempt(
      @ForAll("records") LedgerRecord a, @ForAll("records") LedgerRecord b) {
    LedgerRecord merged = a.merge(b);
    assertThat(merged.isFinal()).isEqualTo(a.isFinal() || b.isFinal());
    assertThat(merged.startedAttempt()).isEqualTo(Math.max(a.startedAttempt(), b.startedAttempt()));
    if (a.isFinal() && (!b.isFinal() || a.stamp().compareTo(b.stamp()) < 0)) {
      assertThat(merged.answer()).isEqualTo(a.answer());
    }
  }

  @Property(seed = SEED)
  void packedStampsPreserveOrder(
      @ForAll("records") LedgerRecord a, @ForAll("records") LedgerRecord b) {
    assertThat(Long.signum(Long.compare(a.stamp().packed(), b.stamp().packed())))
        .isEqualTo(Integer.signum(a.stamp().compareTo(b.stamp())));
  }

  static JobSpec spec(String id, boolean repeatable, String command) {
    return spec(id, 2, repeatable, command);
  }

  static JobSpec spec(String id, int tasks, boolean repeatable, String command) {
    return new JobSpec(
        new JobId(id),
        new CustomerId("depot"),
        tasks,
        new Resources(1000, 10, 1),
        Adjacency.values()[0],
        false,
        false,
        true,
        repeatable,
        0,
        0,
        command);
  }

  @Provide
  Arbitrary<LedgerRecord> records() {
    Arbitrary<RecordStamp> stamps =
        Combinators.combine(upTo(1), upTo(2), upTo(3))
            .as((transfers, term, version) -> new RecordStamp(transfers, new Term(term), version));
    Arbitrary<FailureDomainId> homes = Arbitraries.of("klang", "penang").map(FailureDomainId::new);
    return Combinators.combine(
            stamps, homes, homes.optional(), upTo(2), upTo(2), Arbitraries.of(JobPhase.values()))
        .as(
            (stamp, home, to, attempt, started, phase) ->
                new LedgerRecord(
                    spec("plan", false, "run"),
                    home,
                    to,
                    stamp,
                    attempt,
                    started,
                    phase,
                    phase.isFinal()
                        ? Optional.of(new FinalOutcome(phase, "detail " + attempt))
                        : Optional.empty()));
  }

  private static Arbitrary<Integer> upTo(int max) {
    return Arbitraries.integers().between(0, max);
  }
}
