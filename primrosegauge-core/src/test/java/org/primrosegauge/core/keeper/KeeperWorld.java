package org.primrosegauge.core.keeper;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.KeeperMessage.RenewGrant;
import org.primrosegauge.core.keeper.KeeperMessage.RenewRequest;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/**
 * One state of the model: three instances, the quorum and what is under way between them. All times
 * are relative to the present of their own clock, so states that differ only by age are equal. A
 * message or result may stay under way for any time, which covers lossy, slow and cut links; an
 * instance need not act, which covers frozen processes.
 */
final class KeeperWorld {

  static final FailureDomainId DOMAIN = new FailureDomainId("klang");
  static final List<InstanceId> IDS =
      List.of(new InstanceId("a"), new InstanceId("b"), new InstanceId("c"));
  static final int SIZE = IDS.size();

  /** A result under way, with the number of the proposal that it answers. */
  record Reply(long number, boolean acquisition, QuorumResult result) {}

  /**
   * Bounds and rules of one exploration. Where {@code direct} is set, grants, renewals by the
   * quorum and acknowledgements take effect at once or never, and requests of an older round are
   * lost: their delay only shortens leases, lengthens promises and keeps both sets in use for
   * longer.
   */
  record Setup(
      KeeperSettings settings,
      KeeperRules rules,
      List<Integer> rates,
      int quorumRate,
      List<InstanceId> before,
      List<InstanceId> after,
      int restarts,
      int maxTerm,
      boolean direct) {}

  final Setup setup;
  final KeeperSnapshot[] keepers = new KeeperSnapshot[SIZE];
  final KeeperMessage[] messages = new KeeperMessage[SIZE * SIZE];
  final KeeperAction[] proposals = new KeeperAction[SIZE];
  final KeeperAction.AcknowledgeSet[] acknowledgements = new KeeperAction.AcknowledgeSet[SIZE];
  final Reply[] replies = new Reply[SIZE];
  KeeperOfficeState office;
  int restartsLeft;
  boolean changeLeft;

  /** Creates the first state: all instances have just started. */
  KeeperWorld(Setup setup) {
    this.setup = setup;
    KeeperOffices offices = new KeeperOffices(setup.settings());
    offices.configure(DOMAIN, setup.before());
    office = offices.states().get(0);
    restartsLeft = setup.restarts();
    changeLeft = !setup.after().equals(setup.before());
    for (int i = 0; i < SIZE; i++) {
      keepers[i] = KeeperNormalizer.keeper(started(i).snapshot(), setup.settings());
    }
  }

  private KeeperWorld(KeeperWorld other) {
    setup = other.setup;
    System.arraycopy(other.keepers, 0, keepers, 0, SIZE);
    System.arraycopy(other.messages, 0, messages, 0, SIZE * SIZE);
    System.arraycopy(other.proposals, 0, proposals, 0, SIZE);
    System.arraycopy(other.acknowledgements, 0, acknowledgements, 0, SIZE);
    System.arraycopy(other.replies, 0, replies, 0, SIZE);
    office = other.office;
    restartsLeft = other.restartsLeft;
    changeLeft = other.changeLeft;
  }

  KeeperWorld copy() {
    return new KeeperWorld(this);
  }

  // Transitions: each changes this copy

  void advance() {
    for (int i = 0; i < SIZE; i++) {
      keepers[i] = KeeperNormalizer.aged(keepers[i], setup.rates().get(i), setup.settings());
    }
    office = KeeperNormalizer.agedOffice(office, setup.quorumRate());
  }

  void tick(int i, boolean quorumReachable) {
    KeeperLease lease = lease(i);
    List<KeeperAction> actions = lease.tick(0);
    if (!quorumReachable) {
      actions.removeIf(action -> !(action instanceof KeeperAction.Send));
    }
    store(i, lease, actions);
    if (setup.direct()) {
      commitDirectly(i);
    }
  }

  void deliver(int slot) {
    KeeperMessage message = messages[slot];
    messages[slot] = null;
    int to = slot % SIZE;
    KeeperLease lease = lease(to);
    store(to, lease, lease.receive(message, 0));
    int back = to * SIZE + slot / SIZE;
    if (setup.direct() && messages[back] instanceof RenewGrant) {
      deliver(back);
    }
  }

  void commit(int i) {
    KeeperOffices offices = offices();
    KeeperAction proposal = proposals[i];
    proposals[i] = null;
    if (proposal instanceof KeeperAction.ProposeAcquire acquire) {
      QuorumResult result = offices.acquire(DOMAIN, IDS.get(i), acquire.expected(), 0);
      replies[i] = new Reply(acquire.number(), true, result);
    } else if (proposal instanceof KeeperAction.ProposeRenew renew) {
      QuorumResult result = offices.renew(DOMAIN, IDS.get(i), renew.term(), 0);
      replies[i] = new Reply(renew.number(), false, result);
    }
    office = offices.states().get(0);
  }

  void reply(int i) {
    Reply reply = replies[i];
    replies[i] = null;
    KeeperLease lease = lease(i);
    store(
        i,
        lease,
        reply.acquisition()
            ? lease.acquireResult(reply.number(), reply.result(), 0)
            : lease.renewResult(reply.number(), reply.result(), 0));
  }

  void acknowledge(int i) {
    KeeperOffices offices = offices();
    KeeperAction.AcknowledgeSet action = acknowledgements[i];
    acknowledgements[i] = null;
    offices.acknowledge(DOMAIN, IDS.get(i), action.term(), action.version());
    office = offices.states().get(0);
  }

  void observe(int i) {
    KeeperLease lease = lease(i);
    store(i, lease, lease.officeObserved(office.office(), 0));
  }

  void restart(int i) {
    restartsLeft--;
    proposals[i] = null;
    replies[i] = null;
    keepers[i] = KeeperNormalizer.keeper(started(i).snapshot(), setup.settings());
  }

  void change() {
    changeLeft = false;
    KeeperOffices offices = offices();
    offices.configure(DOMAIN, setup.after());
    if (!setup.rules().acknowledgeSets()) {
      offices.confirmStopped(DOMAIN, offices.office(DOMAIN).sets().pending().version());
    }
    office = offices.states().get(0);
  }

  // Questions

  boolean mayStart(int i) {
    return lease(i).mayStart(0);
  }

  int startersCount() {
    int count = 0;
    for (int i = 0; i < SIZE; i++) {
      count += mayStart(i) ? 1 : 0;
    }
    return count;
  }

  boolean hasNews(int i) {
    return office.office().sets().isNewerThan(keepers[i].sets())
        || office.office().term().isAfter(keepers[i].highest());
  }

  /** Drops what can have no effect any more, so that equal futures become equal states. */
  void prune() {
    for (int i = 0; i < SIZE; i++) {
      pruneProposal(i);
      pruneRound(i);
    }
  }

  private void pruneProposal(int i) {
    if (proposals[i] instanceof KeeperAction.ProposeAcquire acquire
        && !acquire.expected().equals(office.office().term())) {
      proposals[i] = null;
    }
    boolean useless = replies[i] != null && (replies[i].number() == 0 || !isGranted(i));
    if (setup.direct() && useless) {
      replies[i] = null;
    }
    if (proposals[i] == null && replies[i] == null) {
      keepers[i] = KeeperNormalizer.withoutRequest(keepers[i]);
    }
  }

  private boolean isGranted(int i) {
    return replies[i].result().isGranted();
  }

  private void pruneRound(int i) {
    KeeperSnapshot keeper = keepers[i];
    boolean tooOld = keeper.roundSentAt() <= -setup.settings().holderMillis();
    boolean waiting = false;
    for (int slot = i * SIZE; slot < (i + 1) * SIZE; slot++) {
      if (messages[slot] instanceof RenewRequest && tooOld && setup.direct()) {
        messages[slot] = null;
      }
      waiting = waiting || messages[slot] instanceof RenewRequest;
    }
    if (setup.direct() && !waiting) {
      keepers[i] = KeeperNormalizer.withoutRound(keeper);
    }
  }

  /** Returns the fingerprint of all that decides the future. */
  long fingerprint() {
    long hash = Objects.hash(restartsLeft, changeLeft);
    for (KeeperSnapshot keeper : keepers) {
      hash = KeeperNormalizer.mix(hash, keeper);
    }
    for (int i = 0; i < SIZE * SIZE; i++) {
      hash = KeeperNormalizer.mix(hash, Objects.hashCode(messages[i]));
    }
    for (int i = 0; i < SIZE; i++) {
      hash = KeeperNormalizer.mix(hash, Objects.hashCode(proposals[i]));
      hash = KeeperNormalizer.mix(hash, Objects.hashCode(acknowledgements[i]));
      hash = KeeperNormalizer.mix(hash, replies[i] == null ? 0 : replies[i].number() + 1);
      hash = KeeperNormalizer.mix(hash, replies[i] == null ? 0 : replies[i].result().hashCode());
    }
    hash = KeeperNormalizer.mix(hash, office.office().hashCode());
    hash = KeeperNormalizer.mix(hash, office.acknowledgements().hashCode());
    return KeeperNormalizer.mix(hash, office.grantedUntilMillis());
  }

  // Internals

  private void commitDirectly(int i) {
    if (proposals[i] instanceof KeeperAction.ProposeRenew) {
      commit(i);
      reply(i);
    }
    if (acknowledgements[i] != null) {
      acknowledge(i);
    }
  }

  private KeeperLease started(int i) {
    return new KeeperLease(DOMAIN, IDS.get(i), setup.settings(), setup.rules(), 0L);
  }

  private KeeperLease lease(int i) {
    return new KeeperLease(DOMAIN, IDS.get(i), setup.settings(), setup.rules(), keepers[i]);
  }

  private KeeperOffices offices() {
    return new KeeperOffices(setup.settings(), List.of(office));
  }

  private void store(int i, KeeperLease lease, List<KeeperAction> actions) {
    for (KeeperAction action : actions) {
      if (action instanceof KeeperAction.Send send) {
        send(i, send);
      } else if (action instanceof KeeperAction.ProposeAcquire acquire) {
        boolean beyond = acquire.expected().number() >= setup.maxTerm();
        proposals[i] = beyond ? proposals[i] : acquire;
      } else if (action instanceof KeeperAction.ProposeRenew renew) {
        proposals[i] = renew;
      } else if (action instanceof KeeperAction.AcknowledgeSet acknowledgement) {
        acknowledgements[i] = acknowledgement;
      }
    }
    rebase(i, lease.snapshot());
  }

  /** A later message on the same link replaces an earlier one, which is then lost. */
  private void send(int from, KeeperAction.Send send) {
    if (!(send.message() instanceof KeeperMessage.RenewRefusal)) {
      messages[from * SIZE + IDS.indexOf(send.to())] = send.message();
    }
  }

  /** Numbers the open round and proposal 1 and every stale one 0. */
  private void rebase(int i, KeeperSnapshot keeper) {
    for (int slot = 0; slot < SIZE * SIZE; slot++) {
      messages[slot] = rebased(messages[slot], i, slot % SIZE, keeper);
    }
    long open = keeper.requestOpen() ? keeper.request() : -1;
    if (proposals[i] instanceof KeeperAction.ProposeAcquire acquire) {
      long number = acquire.number() == open ? 1 : 0;
      proposals[i] =
          new KeeperAction.ProposeAcquire(number, DOMAIN, IDS.get(i), acquire.expected());
    } else if (proposals[i] instanceof KeeperAction.ProposeRenew renew) {
      long number = renew.number() == open ? 1 : 0;
      proposals[i] = new KeeperAction.ProposeRenew(number, DOMAIN, IDS.get(i), renew.term());
    }
    if (replies[i] != null) {
      long number = replies[i].number() == open ? 1 : 0;
      replies[i] = new Reply(number, replies[i].acquisition(), replies[i].result());
    }
    keepers[i] = KeeperNormalizer.keeper(keeper, setup.settings());
  }

  private KeeperMessage rebased(KeeperMessage message, int holder, int to, KeeperSnapshot keeper) {
    if (message instanceof RenewRequest request && request.from().equals(IDS.get(holder))) {
      boolean open = isOpen(request.term(), request.round(), keeper);
      return !open && setup.direct()
          ? null
          : new RenewRequest(DOMAIN, request.from(), request.term(), open ? 1 : 0);
    }
    if (message instanceof RenewGrant grant && to == holder) {
      boolean open = isOpen(grant.term(), grant.round(), keeper);
      return open ? new RenewGrant(DOMAIN, grant.from(), grant.term(), 1) : null;
    }
    return message;
  }

  private static boolean isOpen(Term term, long round, KeeperSnapshot keeper) {
    return keeper.office().equals(term) && keeper.round() == round;
  }
}
