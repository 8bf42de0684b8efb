package org.primrosegauge.core.keeper;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/** Three instances in virtual time: who is the keeper after a cut or the death of an instance. */
class KeeperLivenessTest {

  private static final KeeperSettings SETTINGS = KeeperSettings.DEFAULT;
  private static final long STEP = 50;
  private static final long SETTLED = 5_000;

  private final KeeperOffices offices = new KeeperOffices(SETTINGS);
  private final List<KeeperLease> leases = new ArrayList<>();
  private final Set<Integer> dead = new HashSet<>();
  private final Set<Integer> cutFromPeers = new HashSet<>();
  private boolean quorumReachable = true;
  private long now;

  KeeperLivenessTest() {
    offices.configure(KeeperWorld.DOMAIN, KeeperWorld.IDS);
    for (int i = 0; i < KeeperWorld.SIZE; i++) {
      leases.add(new KeeperLease(KeeperWorld.DOMAIN, KeeperWorld.IDS.get(i), SETTINGS, 0));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "nothing, true, true",
    "quorum, true, true",
    "quorum+follower, false, false",
    "follower, true, true",
    "keeper, false, true",
    "keeperFromPeers, true, true"
  })
  void keeperAfterLoss(String loss, boolean same, boolean any) {
    run(SETTLED);
    int keeper = keeper();
    assertThat(keeper).isAtLeast(0);
    lose(loss, keeper);
    run(60_000);
    assertThat(keeper() == keeper).isEqualTo(same);
    assertThat(keeper() >= 0).isEqualTo(any);
  }

  private void lose(String loss, int keeper) {
    int follower = (keeper + 1) % KeeperWorld.SIZE;
    quorumReachable = !loss.startsWith("quorum");
    if (loss.endsWith("follower")) {
      dead.add(follower);
    } else if (loss.equals("keeper")) {
      dead.add(keeper);
    } else if (loss.equals("keeperFromPeers")) {
      cutFromPeers.add(keeper);
    }
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += STEP) {
      for (int i = 0; i < KeeperWorld.SIZE; i++) {
        if (!dead.contains(i)) {
          perform(i, leases.get(i).tick(now));
          observe(i);
        }
      }
    }
  }

  private void observe(int i) {
    if (quorumReachable) {
      leases.get(i).officeObserved(offices.office(KeeperWorld.DOMAIN), now);
    }
  }

  private void perform(int i, List<KeeperAction> actions) {
    for (KeeperAction action : actions) {
      if (action instanceof KeeperAction.Send send) {
        send(i, send);
      } else if (quorumReachable) {
        propose(i, action);
      }
    }
  }

  private void send(int from, KeeperAction.Send send) {
    int to = KeeperWorld.IDS.indexOf(send.to());
    if (!dead.contains(to) && !cutFromPeers.contains(from) && !cutFromPeers.contains(to)) {
      perform(to, leases.get(to).receive(send.message(), now));
    }
  }

  private void propose(int i, KeeperAction action) {
    KeeperLease lease = leases.get(i);
    if (action instanceof KeeperAction.ProposeAcquire acquire) {
      QuorumResult result =
          offices.acquire(KeeperWorld.DOMAIN, acquire.instance(), acquire.expected(), now);
      lease.acquireResult(acquire.number(), result, now);
    } else if (action instanceof KeeperAction.ProposeRenew renew) {
      QuorumResult result = offices.renew(KeeperWorld.DOMAIN, renew.instance(), renew.term(), now);
      lease.renewResult(renew.number(), result, now);
    }
  }

  private int keeper() {
    for (int i = 0; i < KeeperWorld.SIZE; i++) {
      if (!dead.contains(i) && leases.get(i).mayStart(now)) {
        return i;
      }
    }
    return -1;
  }
}
