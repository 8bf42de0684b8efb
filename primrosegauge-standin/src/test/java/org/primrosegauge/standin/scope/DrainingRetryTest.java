package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepSpec;

/** A start that had no response was repeated although its worker was leaving by then. */
class DrainingRetryTest {

  private static final Resources SMALL = new Resources(1_000, 1_000, 1);
  private static final JobId JOB = new JobId("job");
  private static final long RUN_MILLIS = 300;

  private static EmulatedScope worldWithUnansweredStart(boolean isGang) {
    EmulatedScope world = new EmulatedScope(5, 1, true);
    world.run(2_000);
    world.network.losesStarts = true;
    StepSpec step =
        StepSpec.builder(2).task(SMALL).estimatedMillis(RUN_MILLIS).gang(isGang).build();
    world.submit("job", 1, "first", List.of(step), RUN_MILLIS);
    world.run(200);
    assertThat(world.placements()).isEqualTo(2);
    world.network.losesStarts = false;
    return world;
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void startIsNotRepeatedOnWorkerThatDrainsByThen(boolean isGang) {
    EmulatedScope world = worldWithUnansweredStart(isGang);
    world.drain("w0", 15_000);
    world.run(14_000);
    assertThat(world.begunMillis(JOB)).isEmpty();
  }

  /** The same for a domain that is taken out of service. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void startIsNotRepeatedInDomainThatIsOutByThen(boolean isGang) {
    EmulatedScope world = worldWithUnansweredStart(isGang);
    world.switchDomain("d0", true);
    world.run(14_000);
    assertThat(world.begunMillis(JOB)).isEmpty();
  }
}
