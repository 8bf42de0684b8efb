package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.StartResult;

/** What a log that is overloaded refuses must not be lost for the rest of the term. */
class RefusedProposalTest {

  private final CoreFixture fixture = new CoreFixture();

  /** LOST by reading: a start was rejected, the log refused the record, the task stayed open. */
  @Test
  void endOfRunThatNeverStartedIsProposedAgain() {
    fixture.startLeading(1);
    fixture.registerAndPoll(CoreFixture.worker(1, 1));
    fixture.submit("job", CoreFixture.step(1));
    fixture.plan();
    fixture.commitAll();
    ScopeAction.Start start = fixture.take(ScopeAction.Start.class).get(0);
    fixture.core.handleStartResult(
        start.run(), StartResult.NO_ROOM, fixture.nowMillis, fixture.now());
    ScopeCommand.RecordEnds refused = proposedEnds().get(0);
    fixture.core.proposalFailed(refused);
    List<List<?>> found = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      fixture.advance(50);
      proposedEnds().forEach(command -> found.add(command.ends()));
    }
    assertThat(found).contains(refused.ends());
  }

  private List<ScopeCommand.RecordEnds> proposedEnds() {
    return fixture.takeProposals(ScopeCommand.RecordEnds.class);
  }
}
