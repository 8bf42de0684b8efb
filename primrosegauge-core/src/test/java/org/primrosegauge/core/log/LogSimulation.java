package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.log.LogAction.Commit;
import org.primrosegauge.core.log.LogAction.InstallSnapshot;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.LogAction.Send;
import org.primrosegauge.core.log.cfg.LogSettings;

/**
 * Simulation of replicas with a simulated network and simulated disks in virtual time. All
 * randomness is derived from one seed.
 */
final class LogSimulation {

  static final int ELECTION_MIN_MILLIS = 300;
  static final int ELECTION_MAX_MILLIS = 600;

  private static final Timings SMALL =
      new Timings(50, ELECTION_MIN_MILLIS, ELECTION_MAX_MILLIS, 0, 10_000);
  private static final int ADMISSION_RETRY_MILLIS = 500;
  private static final int TICK_MILLIS = 10;
  private static final int PROPOSAL_INTERVAL_MILLIS = 50;
  private static final int MAX_DELAY_MILLIS = 30;
  private static final int MAX_SYNC_MILLIS = 15;
  private static final int MAX_SLOW_SYNC_MILLIS = 400;
  private static final int SNAPSHOT_EVERY = 12;
  private static final double MAX_CLOCK_ERROR = 0.04;

  /**
   * Timings and number of voters of the log.
   *
   * @param heartbeatMillis interval between heartbeats, in milliseconds
   * @param electionMinMillis minimum election timeout, in milliseconds
   * @param electionMaxMillis maximum election timeout, in milliseconds
   * @param targetVoters number of voters that the leader maintains; 0 if only initial voters vote
   * @param voterLossMillis time without a reply after which a voter is replaced, in milliseconds
   */
  record Timings(
      int heartbeatMillis,
      int electionMinMillis,
      int electionMaxMillis,
      int targetVoters,
      int voterLossMillis) {}

  private record Event(long atMillis, long number, Runnable task) {}

  private record Link(int from, int to) {}

  /** Instance whose process may be down while its disk is intact. */
  private final class Node {
    final int number;
    final InstanceId id;
    final double clockRate;
    long clockOffset;
    SimulatedDisk disk;
    LogReplica replica;
    SimulatedRegistry registry;
    long applied;
    long frozenUntil;
    long syncedAt;
    int incarnation;
    int starts;

    Node(int number) {
      this.number = number;
      this.id = new InstanceId("i" + number);
      this.clockRate = 1 + MAX_CLOCK_ERROR * (2 * random.nextDouble() - 1);
      this.clockOffset = random.nextLong(1_000_000);
      this.disk = newDisk();
    }

    long nowMillis() {
      return clockOffset + (long) (now * clockRate);
    }
  }

  private final SplittableRandom random;
  private final Timings timings;
  private final LogInvariants invariants = new LogInvariants();
  private final List<Node> nodes = new ArrayList<>();
  private final List<InstanceId> initialVoters = new ArrayList<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final List<RecoveredLog> lostDisks = new ArrayList<>();
  private final List<LogEntry> membershipEntries = new ArrayList<>();
  private boolean hasSlowSyncs = true;
  private int lossPercent = 5;
  private long now;
  private long eventNumber;
  private int storageNumber;
  private int requestNumber;

  LogSimulation(int voters, int learners, long seed) {
    this(SMALL, voters, learners, seed);
  }

  LogSimulation(Timings timings, int voters, int learners, long seed) {
    this.timings = timings;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < voters + learners; i++) {
      nodes.add(new Node(i));
    }
    nodes.subList(0, voters).forEach(node -> initialVoters.add(node.id));
    nodes.forEach(this::start);
  }

  /** Performs one step of a schedule. The numbers of the step select among the possible values. */
  void step(LogStep step) {
    Node node = nodes.get(step.node() % nodes.size());
    Node other = nodes.get(step.other() % nodes.size());
    switch (step.kind()) {
      case RUN -> runFor(10L * step.amount());
      case PROPOSE -> propose(node, step.amount());
      case RACE -> nodes.forEach(each -> propose(each, step.amount()));
      case CUT_ONE_WAY -> cutLinks.add(new Link(node.number, other.number));
      case CUT_BOTH_WAYS -> isolate(node);
      case HEAL -> cutLinks.clear();
      case FREEZE -> node.frozenUntil = Math.max(node.frozenUntil, now + 20L * step.amount());
      case CRASH -> crash(node);
      case POWER_LOSS -> nodes.forEach(this::crash);
      case RESTART -> start(node);
      case HAND_OVER -> transferLeadership(node);
      case WIPE -> wipe(node);
      case ADD_LEARNER -> proposeChange(new MembershipChange.AddLearner(replicaId(node)));
      case PROMOTE -> proposeChange(new MembershipChange.Promote(node.id));
      case REMOVE -> proposeChange(new MembershipChange.Remove(node.id));
      case REPLACE -> proposeChange(new MembershipChange.Replace(node.id, other.id));
      case LOSS -> lossPercent = step.amount() % 40;
      default -> throw new IllegalStateException("unknown step " + step);
    }
  }

  private void isolate(Node node) {
    for (Node other : nodes) {
      cutLinks.add(new Link(node.number, other.number));
      cutLinks.add(new Link(other.number, node.number));
    }
  }

  private void crash(Node node) {
    if (node.replica != null) {
      node.disk.crash(random.nextInt(node.disk.unsyncedCount() + 1));
      node.replica = null;
      node.incarnation++;
    }
  }

  private void start(Node node) {
    if (node.replica != null) {
      return;
    }
    node.replica =
        new LogReplica(settings(node), node.disk.content(), random.split(), node.nowMillis());
    node.registry = new SimulatedRegistry(node.id, invariants);
    node.applied = 0;
    invariants.onRestart(node.id);
    if (node.disk.snapshot() != null) {
      install(node, node.disk.snapshot());
    }
    node.incarnation++;
    node.starts++;
    tick(node, node.incarnation);
    if (timings.targetVoters() > 0) {
      requestAdmission(node, node.incarnation);
    }
  }

  /**
   * With a target number of voters, an instance knows the initial voters only on its first start.
   */
  private LogSettings settings(Node node) {
    boolean knowsVoters = timings.targetVoters() == 0 || node.starts == 0;
    return LogSettings.of(node.id, knowsVoters ? initialVoters : List.of())
        .withTimings(
            timings.heartbeatMillis(), timings.electionMinMillis(), timings.electionMaxMillis())
        .withTransferLimits(300, 900, 50, 4)
        .withTargetVoters(timings.targetVoters(), timings.voterLossMillis());
  }

  /**
   * Makes a replica that is not a member request admission from all instances at a fixed interval.
   */
  private void requestAdmission(Node node, int incarnation) {
    runUnlessFrozen(
        node,
        incarnation,
        () -> {
          ReplicaId asking = replicaId(node);
          if (node.replica.needsAdmission()) {
            nodes.forEach(other -> at(now + 1, () -> admit(node, other, asking)));
          }
          at(now + ADMISSION_RETRY_MILLIS, () -> requestAdmission(node, incarnation));
        });
  }

  private void admit(Node asking, Node other, ReplicaId replica) {
    boolean isHeard =
        other.replica != null
            && other.frozenUntil <= now
            && !cutLinks.contains(new Link(asking.number, other.number));
    if (isHeard && other.replica.isLeader() && !other.replica.membership().contains(replica)) {
      MembershipChange change = new MembershipChange.AddLearner(replica);
      perform(other, other.replica.changeMembership(change, other.nowMillis()));
    }
  }

  private void transferLeadership(Node node) {
    if (node.replica != null && node.frozenUntil <= now) {
      perform(node, node.replica.transferLeadership(node.nowMillis()));
    }
  }

  /** Makes an instance transfer its leadership. */
  void transferLeadershipAt(int number) {
    transferLeadership(nodes.get(number));
  }

  private void wipe(Node node) {
    if (canLoseDisk(node)) {
      crash(node);
      // Acknowledgements that it sent before may still be in flight to the leader.
      lostDisks.add(node.disk.content());
      node.disk = newDisk();
    }
  }

  /** Crashes the process of an instance. A random number of its latest unsynced writes is lost. */
  void crashAt(int number) {
    crash(nodes.get(number));
  }

  /** Lets time pass while commands are proposed at the leader, in milliseconds. */
  void runProposing(long millis) {
    for (long at = 0; at < millis; at += PROPOSAL_INTERVAL_MILLIS) {
      proposeAtLeader();
      runFor(PROPOSAL_INTERVAL_MILLIS);
    }
  }

  /** Makes the network deliver all messages between instances that run, as TCP does. */
  void loseNoMessages() {
    lossPercent = 0;
  }

  /** Restarts an instance that is down. */
  void startAt(int number) {
    start(nodes.get(number));
  }

  /**
   * Crashes an instance and replaces its disk with an empty one, even if a quorum is lost by that.
   */
  void loseDisk(int number) {
    Node node = nodes.get(number);
    crash(node);
    lostDisks.add(node.disk.content());
    node.disk = newDisk();
  }

  /** Freezes the process of an instance for a period. */
  void freezeAt(int number, long millis) {
    nodes.get(number).frozenUntil = now + millis;
  }

  /**
   * Suspends the machine of an instance for a period that its clock does not count, as that of a
   * suspended machine does not.
   */
  void suspendAt(int number, long millis) {
    Node node = nodes.get(number);
    if (node.frozenUntil <= now) {
      node.frozenUntil = now + millis;
      at(now + millis - 1, () -> wake(node, millis));
    }
  }

  /** Sets the clock back and reports the suspension, which a process sees by its wall clock. */
  private void wake(Node node, long suspendedMillis) {
    node.clockOffset -= (long) (suspendedMillis * node.clockRate);
    if (node.replica != null) {
      node.replica.suspended(node.nowMillis());
    }
  }

  /** Returns the numbers of the running instances that are or consider themselves leader. */
  List<Integer> leaders() {
    return nodes.stream()
        .filter(node -> node.replica != null && node.replica.isLeader())
        .map(node -> node.number)
        .toList();
  }

  /** Returns the numbers of the members according to the first serving leader. */
  List<Integer> members() {
    return nodes.stream()
        .filter(
            node -> node.replica != null && node.replica.readIndex(node.nowMillis()).isPresent())
        .findFirst()
        .map(leader -> numbersOf(leader.replica.membership()))
        .orElse(List.of());
  }

  private List<Integer> numbersOf(Membership membership) {
    return nodes.stream()
        .filter(node -> membership.find(node.id).isPresent())
        .map(node -> node.number)
        .toList();
  }

  /** Returns the numbers of the voters according to the first leader. */
  List<Integer> voters() {
    List<Integer> leaders = leaders();
    if (leaders.isEmpty()) {
      return List.of();
    }
    Membership members = nodes.get(leaders.get(0)).replica.membership();
    return nodes.stream()
        .filter(node -> members.isVoter(replicaId(node)))
        .map(node -> node.number)
        .toList();
  }

  /** Returns the last index that a leader has acknowledged. */
  long acknowledged() {
    return invariants.acknowledged();
  }

  /** Returns whether a leader serves reads that include everything acknowledged. */
  boolean hasServingLeader() {
    return nodes.stream()
        .filter(node -> node.replica != null && node.frozenUntil <= now)
        .anyMatch(
            node ->
                node.replica
                    .readIndex(node.nowMillis())
                    .filter(index -> index.number() >= invariants.acknowledged())
                    .isPresent());
  }

  /**
   * Returns whether every membership in use or in flight keeps a quorum of intact disks if this
   * instance loses its disk.
   */
  private boolean canLoseDisk(Node lost) {
    boolean isUncommittedChangeSafe =
        membershipEntries.stream()
            .filter(entry -> entry.index().number() > invariants.acknowledged())
            .allMatch(entry -> hasIntactQuorum(entry.membership(), lost));
    return isUncommittedChangeSafe && isEveryLogSafe(lost);
  }

  private boolean isEveryLogSafe(Node lost) {
    for (Node node : nodes) {
      LogReplica log =
          new LogReplica(
              LogSettings.of(node.id, initialVoters), node.disk.content(), random.split(), 0);
      if (!hasIntactQuorum(log.membership(), lost)
          || (node.replica != null && !hasIntactQuorum(node.replica.membership(), lost))) {
        return false;
      }
    }
    return true;
  }

  private boolean hasIntactQuorum(Membership members, Node lost) {
    return members.members().isEmpty()
        || members.isQuorum(
            voter ->
                nodes.stream().anyMatch(node -> node != lost && replicaId(node).equals(voter)));
  }

  private void proposeChange(MembershipChange change) {
    for (Node node : nodes) {
      if (node.replica != null
          && node.replica.isLeader()
          && node.frozenUntil <= now
          && isChangeSafe(node.replica.membership(), change)) {
        perform(node, node.replica.changeMembership(change, node.nowMillis()));
      }
    }
  }

  /**
   * Returns whether the membership after a change has a quorum of intact disks. The leader rejects
   * changes that put the quorum at risk, but it cannot know of a disk that was lost a moment ago.
   */
  private boolean isChangeSafe(Membership members, MembershipChange change) {
    boolean isKnown =
        change instanceof MembershipChange.AddLearner
            || members.find(change.instance()).isPresent();
    if (change instanceof MembershipChange.Replace replacement
        && members.find(replacement.successor()).isEmpty()) {
      return false;
    }
    return isKnown && hasIntactQuorum(members.with(change), null);
  }

  private void propose(Node node, int choice) {
    if (node.replica == null || node.frozenUntil > now) {
      return;
    }
    // One third of the commands are retries of an earlier one with the same request id.
    boolean isResent = requestNumber > 0 && choice % 3 == 0;
    int request = isResent ? choice % requestNumber : requestNumber++;
    Revision expected = new Revision(request / 2);
    byte[] command =
        SimulatedRegistry.encode(new RequestId("r" + request), expected, "content " + request);
    perform(node, node.replica.propose(command, node.nowMillis()));
  }

  /** Advances the virtual time. */
  void runFor(long millis) {
    long end = now + millis;
    while (!events.isEmpty() && events.peek().atMillis() <= end) {
      Event event = events.remove();
      now = event.atMillis();
      event.task().run();
    }
    now = end;
  }

  /** Makes all disks sync in the usual time from now on. */
  void endSlowSyncs() {
    hasSlowSyncs = false;
  }

  /** Ends all faults and restarts the instances that are down. */
  void heal() {
    cutLinks.clear();
    lossPercent = 0;
    nodes.forEach(node -> node.frozenUntil = 0);
    nodes.forEach(this::start);
  }

  /**
   * Returns whether exactly one leader serves reads and all members have applied the same entries.
   */
  boolean hasConverged() {
    List<Node> leaders =
        nodes.stream()
            .filter(node -> node.replica.readIndex(node.nowMillis()).isPresent())
            .toList();
    return leaders.size() == 1 && isEveryMemberEqualTo(leaders.get(0));
  }

  private boolean isEveryMemberEqualTo(Node leader) {
    Membership members = leader.replica.membership();
    boolean isDurable = invariants.acknowledged() == leader.replica.lastIndex().number();
    return isDurable
        && nodes.stream()
            .filter(node -> members.find(node.id).isPresent())
            .allMatch(node -> node.applied == leader.applied)
        && initialVoters.stream()
            .flatMap(id -> members.find(id).stream())
            .allMatch(Member::isVoter);
  }

  /** Proposes a command on every replica that considers itself leader. */
  void proposeAtLeader() {
    nodes.stream()
        .filter(node -> node.replica != null && node.replica.isLeader())
        .forEach(node -> propose(node, 1));
  }

  /** Describes the replicas for failure messages. */
  String describe() {
    StringBuilder text =
        new StringBuilder("at " + now + " ms, acknowledged " + invariants.acknowledged());
    for (Node node : nodes) {
      text.append("\n").append(replicaId(node));
      if (node.replica == null) {
        text.append(" is down");
        continue;
      }
      text.append(" term ").append(node.replica.term()).append(" leader ");
      text.append(node.replica.leader()).append(" last ").append(node.replica.lastIndex());
      text.append(" applied ").append(node.applied).append(" ").append(node.replica.membership());
    }
    return text.toString();
  }

  private void at(long millis, Runnable task) {
    events.add(new Event(millis, eventNumber++, task));
  }

  /**
   * Runs a task of a process: after it is unfrozen if it is frozen, and not at all if it has ended.
   */
  private void runUnlessFrozen(Node node, int incarnation, Runnable task) {
    if (node.replica == null || node.incarnation != incarnation) {
      return;
    }
    if (node.frozenUntil > now) {
      at(node.frozenUntil, () -> runUnlessFrozen(node, incarnation, task));
    } else {
      task.run();
    }
  }

  private void tick(Node node, int incarnation) {
    runUnlessFrozen(
        node,
        incarnation,
        () -> {
          node.replica
              .readIndex(node.nowMillis())
              .ifPresent(index -> invariants.checkRead(node.id, index));
          perform(node, node.replica.tick(node.nowMillis()));
          at(now + TICK_MILLIS, () -> tick(node, incarnation));
        });
  }

  private void perform(Node node, List<LogAction> actions) {
    for (LogAction action : actions) {
      if (action instanceof Send send) {
        send(node, send);
      } else if (action instanceof Persist write) {
        persist(node, write);
      } else if (action instanceof Commit commit) {
        commit.entries().forEach(entry -> apply(node, entry));
      } else if (action instanceof InstallSnapshot install) {
        install(node, install.snapshot());
      }
    }
    if (node.replica.isLeader()) {
      invariants.checkSingleLeader(node.id, node.replica.term());
    }
    maybeSnapshot(node);
  }

  private void send(Node from, Send send) {
    invariants.checkSentMessage(from.disk.content(), send.message());
    Node to = nodes.stream().filter(node -> node.id.equals(send.to())).findFirst().orElseThrow();
    int copies = random.nextInt(100) < lossPercent ? 0 : 1 + random.nextInt(20) / 19;
    for (int i = 0; i < copies; i++) {
      at(now + 1 + random.nextInt(MAX_DELAY_MILLIS), () -> deliver(from, to, send.message()));
    }
  }

  private void deliver(Node from, Node to, LogMessage message) {
    if (cutLinks.contains(new Link(from.number, to.number))) {
      return;
    }
    runUnlessFrozen(
        to,
        to.incarnation,
        () -> perform(to, to.replica.received(from.id, message, to.nowMillis())));
  }

  private void persist(Node node, Persist write) {
    node.disk.write(write);
    if (write instanceof LogAction.PersistEntries added) {
      added.entries().stream()
          .filter(entry -> entry.membership() != null)
          .forEach(membershipEntries::add);
    }
    int incarnation = node.incarnation;
    boolean isSlow = hasSlowSyncs && random.nextInt(8) == 0;
    long done = now + random.nextInt(isSlow ? MAX_SLOW_SYNC_MILLIS : MAX_SYNC_MILLIS);
    node.syncedAt = Math.max(node.syncedAt, done);
    at(
        node.syncedAt,
        () ->
            runUnlessFrozen(
                node,
                incarnation,
                () -> {
                  node.disk.sync(write.writeNumber());
                  perform(node, node.replica.synced(write.writeNumber(), node.nowMillis()));
                }));
  }

  private void apply(Node node, LogEntry entry) {
    if (node.replica.isLeader() && entry.index().number() > invariants.acknowledged()) {
      List<RecoveredLog> disks = new ArrayList<>(lostDisks);
      nodes.forEach(each -> disks.add(each.disk.content()));
      invariants.checkDurableOnQuorum(entry, node.replica.membership(), disks);
    }
    invariants.checkCommit(node.id, entry, node.replica.isLeader());
    node.applied = entry.index().number();
    if (entry.isCommand()) {
      node.registry.apply(entry);
    }
  }

  private void install(Node node, LogSnapshot snapshot) {
    node.registry.restore(snapshot.state());
    node.applied = snapshot.index().number();
  }

  private void maybeSnapshot(Node node) {
    long before = node.disk.snapshot() == null ? 0 : node.disk.snapshot().index().number();
    if (node.applied >= before + SNAPSHOT_EVERY && random.nextInt(10) == 0) {
      byte[] state = node.registry.snapshot();
      LogIndex index = new LogIndex(node.applied);
      perform(node, node.replica.snapshotTaken(index, state, node.nowMillis()));
    }
  }

  private SimulatedDisk newDisk() {
    return new SimulatedDisk(new StorageId("s" + storageNumber++));
  }

  private static ReplicaId replicaId(Node node) {
    return new ReplicaId(node.id, node.disk.storage());
  }
}
