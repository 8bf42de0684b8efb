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

  private final CoreWorld world = new CoreWorld();

  /** LOST by reading: a start was rejected, the log refused the record, the task stayed open. */
  @Test
  void endOfRunThatNeverStartedIsProposedAgain() {
    world.takeOffice(1);
    world.meet(CoreWorld.worker(1, 1));
    world.submit("job", CoreWorld.step(1));
    world.plan();
    world.commitAll();
    ScopeAction.Start start = world.take(ScopeAction.Start.class).get(0);
    world.core.startAnswered(start.run(), StartResult.NO_ROOM, world.now, world.present());
    ScopeCommand.RecordEnds refused = proposedEnds().get(0);
    world.core.proposalFailed(refused);
    List<List<?>> found = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      world.idle(50);
      proposedEnds().forEach(command -> found.add(command.ends()));
    }
    assertThat(found).contains(refused.ends());
  }

  private List<ScopeCommand.RecordEnds> proposedEnds() {
    return world.takeProposals(ScopeCommand.RecordEnds.class);
  }
}
