package org.primrosegauge.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.cfg.LedgerSettings;

/**
 * Records of the jobs of one home domain, from acceptance to the final outcome.
 *
 * <p>The leader of the domain (its keeper) writes; every other instance of the domain merges the
 * records that it receives, so that the next leader knows the jobs. Each write carries the leader's
 * term, so that records of a superseded leader lose against those of its successor. Records are
 * replicated to the peers and to the log; {@link #replicationStatus} tells how far.
 *
 * <p>Single-threaded; owned by the keeper duty. Created empty and filled by {@link #merge} from
 * peers, the log and the workers.
 *
 * @since 0.1
 */
public final class JobLedger {

  private final FailureDomainId domain;
  private final LedgerSettings settings;
  private final SortedMap<JobId, LedgerEntry> entries = new TreeMap<>();
  private List<InstanceId> peers = List.of();

  /**
   * Creates an empty ledger.
   *
   * @since 0.1
   */
  public JobLedger(FailureDomainId domain, LedgerSettings settings) {
    this.domain = Objects.requireNonNull(domain);
    this.settings = Objects.requireNonNull(settings);
  }

  /**
   * Sets the other configured instances of the domain.
   *
   * @since 0.1
   */
  public void setPeers(List<InstanceId> peers) {
    this.peers = List.copyOf(peers);
  }

  /**
   * Returns a job's record.
   *
   * @since 0.1
   */
  public Optional<LedgerRecord> find(JobId job) {
    return Optional.ofNullable(entries.get(job)).map(LedgerEntry::record);
  }

  /**
   * Returns all records, by job.
   *
   * @since 0.1
   */
  public List<LedgerRecord> records() {
    return entries.values().stream().map(LedgerEntry::record).toList();
  }

  /**
   * Returns the number of unfinished jobs of this domain in a phase; 0 for a final phase.
   *
   * @since 0.1
   */
  public int countUnfinished(JobPhase phase) {
    return (int)
        entries.values().stream()
            .map(LedgerEntry::record)
            .filter(record -> record.phase() == phase)
            .filter(record -> !record.isFinal() && record.home().equals(domain))
            .count();
  }

  /**
   * Returns how far the newest version of a job's record has been replicated.
   *
   * @throws NotFoundException when the job is not known
   * @since 0.1
   */
  public ReplicationStatus replicationStatus(JobId job) throws NotFoundException {
    LedgerEntry entry = require(job);
    int acknowledged = entry.countAcknowledged(peers);
    if (entry.isLogged()) {
      return new ReplicationStatus(ReplicationStatus.Level.SYNCED, acknowledged);
    }
    return new ReplicationStatus(
        acknowledged > 0 ? ReplicationStatus.Level.PEERS : ReplicationStatus.Level.ALONE,
        acknowledged);
  }

  /**
   * Tells whether the attempt recorded by {@link #recordStart} may be started. A repeatable job
   * with a single task may start at once. Any other job waits until the log or every configured
   * peer has the record of its start, so that the next domain leader knows that the job may have
   * run and completes the starts of a gang. The record acts as the commit record of two-phase
   * commit (Gray, Notes on Data Base Operating Systems, 1978).
   *
   * @since 0.1
   */
  public boolean mayStart(JobId job, int attempt) {
    LedgerEntry entry = entries.get(job);
    if (entry == null || !isActiveHere(entry) || entry.record().startedAttempt() != attempt) {
      return false;
    }
    JobSpec spec = entry.record().spec();
    return spec.repeatable() && spec.tasks() == 1 || isReplicated(entry);
  }

  /**
   * Accepts a job. Idempotent: accepting the same job again has no effect.
   *
   * @param term current term of the domain leader
   * @param nowMillis current time, in milliseconds
   * @throws ConflictException when the id was used with other content
   * @since 0.1
   */
  public List<LedgerAction> accept(JobSpec spec, Term term, long nowMillis)
      throws ConflictException {
    LedgerEntry existing = entries.get(spec.id());
    if (existing == null) {
      LedgerRecord record =
          new LedgerRecord(
              spec,
              domain,
              Optional.empty(),
              new RecordStamp(0, term, 0),
              0,
              0,
              JobPhase.QUEUED,
              Optional.empty());
      entries.put(spec.id(), new LedgerEntry(record, nowMillis));
      return replicationActions(entries.get(spec.id()));
    }
    if (!existing.record().spec().equals(spec)) {
      throw new ConflictException(
          "job " + spec.id() + " was submitted before with different content",
          "send the same content again, or use a new id",
          "body .id");
    }
    return List.of();
  }

  /**
   * Records that an attempt is about to be started. The caller must check {@link #mayStart} before
   * it sends each start.
   *
   * @throws ConflictException when the job has finished, is being transferred or belongs to another
   *     domain, when its record was written in a later term, when the attempt number is not higher
   *     than that of the last recorded start, or when the job is not repeatable and may have been
   *     started before
   * @since 0.1
   */
  public List<LedgerAction> recordStart(JobId job, int attempt, Term term, long nowMillis)
      throws NotFoundException, ConflictException {
    LedgerEntry entry = require(job);
    LedgerRecord record = entry.record();
    boolean startedBefore = record.startedAttempt() > 0 && !record.spec().repeatable();
    boolean superseded = record.stamp().term().isAfter(term);
    if (!isActiveHere(entry) || startedBefore || superseded || attempt <= record.startedAttempt()) {
      throw new ConflictException(
          "attempt " + attempt + " of job " + job + " may not be started",
          "finish the job, with an unknown outcome if it may have run",
          "");
    }
    return write(
        entry,
        record.withPhase(attempt, JobPhase.STARTING).withStartedAttempt(attempt),
        term,
        nowMillis);
  }

  /**
   * Records a phase that is not final. Has no effect when the job has finished, when the attempt is
   * older than the recorded one, when the phase is unchanged or when the record was written in a
   * later term.
   *
   * @since 0.1
   */
  public List<LedgerAction> recordPhase(
      JobId job, int attempt, JobPhase phase, Term term, long nowMillis) throws NotFoundException {
    LedgerEntry entry = require(job);
    LedgerRecord record = entry.record();
    boolean unchanged = attempt == record.attempt() && phase == record.phase();
    boolean superseded = record.stamp().term().isAfter(term);
    if (record.isFinal() || attempt < record.attempt() || unchanged || superseded) {
      return List.of();
    }
    return write(entry, record.withPhase(attempt, phase), term, nowMillis);
  }

  /**
   * Records the final outcome. The first outcome is kept; later ones have no effect.
   *
   * @since 0.1
   */
  public List<LedgerAction> finish(JobId job, FinalOutcome outcome, Term term, long nowMillis)
      throws NotFoundException {
    LedgerEntry entry = require(job);
    if (entry.record().isFinal()) {
      return List.of();
    }
    return write(entry, entry.record().withOutcome(outcome), term, nowMillis);
  }

  /**
   * Begins to transfer a queued job to another home domain. The log or every configured peer must
   * have the intent first, so that no later leader of this domain starts the job. {@link #tick}
   * then proposes the transfer itself to the log, and {@link #handleLogCommit} or {@link #merge}
   * completes it.
   *
   * @throws ConflictException when the job is not queued, is already being transferred or belongs
   *     to another domain
   * @since 0.1
   */
  public List<LedgerAction> transfer(JobId job, FailureDomainId to, Term term, long nowMillis)
      throws NotFoundException, ConflictException {
    LedgerEntry entry = require(job);
    if (entry.record().phase() != JobPhase.QUEUED || !isActiveHere(entry)) {
      throw new ConflictException(
          "job " + job + " is " + entry.record().phase() + " in " + entry.record().home(),
          "transfer only queued jobs, and only from their home domain",
          "");
    }
    return write(entry, entry.record().withTransferTo(to), term, nowMillis);
  }

  /**
   * Merges a record from a peer, the log or a worker. The caller acknowledges a peer's record after
   * this call.
   *
   * @return whether the merge changed the stored record
   * @since 0.1
   */
  public boolean merge(LedgerRecord record, long nowMillis) {
    LedgerEntry entry = entries.get(record.spec().id());
    if (entry == null) {
      entries.put(record.spec().id(), new LedgerEntry(record, nowMillis));
      return true;
    }
    LedgerRecord merged = entry.record().merge(record);
    boolean changed = !merged.equals(entry.record());
    if (changed) {
      entry.replace(merged, nowMillis);
    }
    return changed;
  }

  /**
   * Handles a peer's acknowledgement that it has merged a record. Ignored unless the record is
   * still the newest one.
   *
   * @param sent the record as it was sent
   * @since 0.1
   */
  public void handlePeerAcknowledgement(InstanceId peer, LedgerRecord sent) {
    LedgerEntry entry = entries.get(sent.spec().id());
    if (entry != null && entry.record().equals(sent)) {
      entry.addAcknowledgement(peer);
    }
  }

  /**
   * Handles the commit of a record in the log. The record is also merged, which completes a
   * transfer.
   *
   * @since 0.1
   */
  public void handleLogCommit(LedgerRecord committed, long nowMillis) {
    merge(committed, nowMillis);
    LedgerEntry entry = entries.get(committed.spec().id());
    if (entry.record().equals(committed)) {
      entry.markLogged();
    }
  }

  /**
   * Resends records, at most one batch, whose last send is at least the retry interval ago, and
   * removes expired outcomes. Only the domain leader calls this; every other instance calls {@link
   * #expire}.
   *
   * @since 0.1
   */
  public List<LedgerAction> tick(long nowMillis) {
    expire(nowMillis);
    List<LedgerAction> actions = new ArrayList<>();
    for (LedgerEntry entry : entries.values()) {
      if (actions.size() >= settings.maxBatchSize()) {
        break;
      }
      if (entry.isRetryDue(nowMillis, settings.retryMillis())) {
        entry.markSent(nowMillis);
        actions.addAll(replicationActions(entry));
      }
    }
    return actions;
  }

  /**
   * Removes the records of jobs whose final outcome has been kept for the retention period.
   *
   * @since 0.1
   */
  public void expire(long nowMillis) {
    entries
        .values()
        .removeIf(entry -> entry.isExpired(nowMillis, settings.outcomeRetentionMillis()));
  }

  private List<LedgerAction> write(
      LedgerEntry entry, LedgerRecord content, Term term, long nowMillis) {
    RecordStamp last = entry.record().stamp();
    Term writeTerm = last.term().isAfter(term) ? last.term() : term;
    RecordStamp next = new RecordStamp(last.transfers(), writeTerm, last.version() + 1);
    entry.replace(content.withStamp(next), nowMillis);
    return replicationActions(entry);
  }

  private List<LedgerAction> replicationActions(LedgerEntry entry) {
    List<LedgerAction> actions = new ArrayList<>();
    List<InstanceId> unacknowledged = entry.unacknowledged(peers);
    if (!unacknowledged.isEmpty()) {
      actions.add(new LedgerAction.ReplicateToPeers(entry.record(), unacknowledged));
    }
    if (!entry.isLogged()) {
      actions.add(new LedgerAction.ProposeToLog(entry.record()));
    }
    if (entry.record().transferTo().isPresent() && isReplicated(entry)) {
      actions.add(new LedgerAction.ProposeToLog(entry.record().afterTransfer()));
    }
    return actions;
  }

  private boolean isReplicated(LedgerEntry entry) {
    return entry.isLogged() || entry.unacknowledged(peers).isEmpty();
  }

  private boolean isActiveHere(LedgerEntry entry) {
    LedgerRecord record = entry.record();
    return !record.isFinal() && record.home().equals(domain) && record.transferTo().isEmpty();
  }

  /**
   * Returns the error for a job that is not known, or whose existence a caller may not learn.
   *
   * @since 0.1
   */
  public static NotFoundException notFound(JobId job, FailureDomainId domain) {
    return new NotFoundException(
        "job " + job + " is not known in failure domain " + domain,
        "check the id; final answers are kept for a limited time",
        "");
  }

  private LedgerEntry require(JobId job) throws NotFoundException {
    LedgerEntry entry = entries.get(job);
    if (entry == null) {
      throw notFound(job, domain);
    }
    return entry;
  }
}
