package org.primrosegauge.node.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.FinalOutcome;
import org.primrosegauge.core.job.JobLedger;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.LedgerAction;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.core.job.ReplicationStatus;
import org.primrosegauge.core.job.cfg.LedgerSettings;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.api.JobView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The job ledger of this instance and its ways to the domain's peers and to the log.
 *
 * <p>Single-threaded; owned by the keeper duty. Acknowledgements come back through the duty's ring.
 */
final class JobBook {

  private static final Logger LOG = LoggerFactory.getLogger(JobBook.class);
  private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

  private final FailureDomainId domain;
  private final JobLedger ledger;
  private final MonotonicClock clock;
  private final Duty duty;
  private final PeerTransport transport;
  private final JobLog log;
  private final Runnable onHeld;
  private final Map<JobId, String> reasons = new HashMap<>();

  JobBook(
      FailureDomainId domain,
      List<InstanceId> peers,
      MonotonicClock clock,
      Duty duty,
      PeerTransport transport,
      JobLog log,
      Runnable onHeld) {
    this.domain = domain;
    this.ledger = new JobLedger(domain, LedgerSettings.DEFAULT);
    this.ledger.setPeers(peers);
    this.clock = clock;
    this.duty = duty;
    this.transport = transport;
    this.log = log;
    this.onHeld = onHeld;
  }

  // Accessors

  /** Returns the records of jobs of this domain that are not over. */
  List<LedgerRecord> open() {
    return ledger.records().stream()
        .filter(record -> !record.isFinal() && record.home().equals(domain))
        .toList();
  }

  /** Tells whether a job is known. */
  boolean isKnown(JobId job) {
    return ledger.find(job).isPresent();
  }

  /** Refuses a job that is not known. */
  void requireKnown(JobId job) throws NotFoundException {
    ledger.replicationStatus(job);
  }

  /** Returns what callers are told about a job. */
  JobView view(JobId job, String waitsFor) throws NotFoundException {
    ReplicationStatus holding = ledger.replicationStatus(job);
    LedgerRecord record = ledger.find(job).orElseThrow();
    String reason =
        record
            .answer()
            .map(FinalOutcome::detail)
            .orElse(waitsFor == null ? reasons.getOrDefault(job, "accepted") : waitsFor);
    return new JobView(
        record.spec().id().value(),
        record.spec().customer().value(),
        record.home(),
        record.spec().tasks(),
        record.attempt(),
        record.phase(),
        reason,
        describe(holding),
        record.isFinal());
  }

  /** Returns views of the jobs of this domain. */
  List<JobView> views(int most) throws NotFoundException {
    List<JobView> views = new ArrayList<>();
    for (LedgerRecord record : ledger.records()) {
      if (views.size() < most && record.home().equals(domain)) {
        views.add(view(record.spec().id(), null));
      }
    }
    return views;
  }

  /** Returns some of the records of the domain, by id of the job. */
  List<LedgerRecord> recordsAfter(String job, int most) {
    return ledger.records().stream()
        .filter(record -> record.home().equals(domain))
        .filter(record -> record.spec().id().value().compareTo(job) > 0)
        .sorted(Comparator.comparing(record -> record.spec().id().value()))
        .limit(most)
        .toList();
  }

  /** Returns the number of jobs in a phase. */
  int count(JobPhase phase) {
    return ledger.countUnfinished(phase);
  }

  /** Tells whether the record of a job is held by nobody else yet. */
  boolean isHeldAlone(JobId job) throws NotFoundException {
    return ledger.replicationStatus(job).level() == ReplicationStatus.Level.ALONE;
  }

  /** Tells whether the start of a task may be sent. */
  boolean mayStart(TaskId task) {
    return ledger.mayStart(task.job(), task.attempt());
  }

  // Writes of the keeper

  /**
   * Accepts a job.
   *
   * @return whether it is new
   */
  boolean accept(JobSpec spec, Term term) throws ConflictException {
    final boolean isNew = !isKnown(spec.id());
    perform(ledger.accept(spec, term, clock.nowMillis()));
    return isNew;
  }

  /** Notes that an attempt is about to be started; false when it must not be. */
  boolean recordStart(TaskId task, Term term) {
    int recorded = ledger.find(task.job()).map(LedgerRecord::startedAttempt).orElse(0);
    if (recorded == task.attempt()) {
      return true;
    }
    try {
      perform(ledger.recordStart(task.job(), task.attempt(), term, clock.nowMillis()));
      return true;
    } catch (NotFoundException | ConflictException e) {
      LOG.warn("task {} is not started: {}", task, e.getMessage());
      return false;
    }
  }

  /** Takes over a change that the scheduler made. */
  void changed(SchedulerAction.JobChanged change, Term term) {
    reasons.put(change.job(), change.reason().label());
    long now = clock.nowMillis();
    try {
      if (change.phase().isFinal()) {
        FinalOutcome answer = new FinalOutcome(change.phase(), change.reason().label());
        perform(ledger.finish(change.job(), answer, term, now));
        reasons.remove(change.job());
      } else {
        perform(ledger.recordPhase(change.job(), change.attempt(), change.phase(), term, now));
      }
    } catch (NotFoundException e) {
      LOG.warn("a change of an unknown job is dropped: {}", change, e);
    }
  }

  // Events

  /** Merges a record from a peer or the log. */
  boolean merge(LedgerRecord record) {
    return ledger.merge(record, clock.nowMillis());
  }

  /** Sends again what was not acknowledged; on other instances than the keeper, only expires. */
  void tick(boolean isKeeper, long nowMillis) {
    if (isKeeper) {
      perform(ledger.tick(nowMillis));
    } else {
      ledger.expire(nowMillis);
    }
  }

  /** Returns the record of a job, if it is known. */
  Optional<LedgerRecord> find(JobId job) {
    return ledger.find(job);
  }

  // Internals

  private void perform(List<LedgerAction> actions) {
    for (LedgerAction action : actions) {
      if (action instanceof LedgerAction.ReplicateToPeers replicate) {
        replicate.peers().forEach(peer -> replicate(peer, replicate.record()));
      } else if (action instanceof LedgerAction.ProposeToLog propose) {
        propose(propose.record());
      }
    }
  }

  private void replicate(InstanceId peer, LedgerRecord record) {
    transport
        .ask(peer, new JobMessage.Replicate(record), JobMessage.Replicated.class, PEER_TIMEOUT)
        .subscribe(
            done -> duty.offer(() -> peerHolds(peer, record)),
            error -> LOG.debug("peer {} did not take job {}", peer, record.spec().id()));
  }

  private void propose(LedgerRecord record) {
    log.put(record)
        .subscribe(
            recorded -> {
              if (recorded) {
                duty.offer(() -> logHolds(record));
              }
            },
            error -> LOG.debug("the log did not take job {}", record.spec().id()));
  }

  private void peerHolds(InstanceId peer, LedgerRecord record) {
    ledger.handlePeerAcknowledgement(peer, record);
    onHeld.run();
  }

  private void logHolds(LedgerRecord record) {
    ledger.handleLogCommit(record, clock.nowMillis());
    onHeld.run();
  }

  private static String describe(ReplicationStatus holding) {
    String kind = holding.level().name().toLowerCase(Locale.ROOT);
    return holding.level() == ReplicationStatus.Level.PEERS ? kind + " " + holding.peers() : kind;
  }
}
