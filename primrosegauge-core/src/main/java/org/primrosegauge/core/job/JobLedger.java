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
 * The jobs of one home domain, from acceptance to the final answer.
 *
 * <p>The keeper writes; every other instance of the domain merges what it is sent, so that the next
 * keeper knows the jobs. A write needs the term of the office: with it, records of a keeper that
 * has been replaced lose against those of its successor. Records go to the peers and to the log;
 * {@link #replicationStatus} says how far they got.
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

  // Life-cycle

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

  // Accessors

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
   * Returns the number of jobs of this domain in a phase that is not final.
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
   * Returns how the present version of a job's record is held.
   *
   * @throws NotFoundException when the job is not known
   * @since 0.1
   */
  public ReplicationStatus replicationStatus(JobId job) throws NotFoundException {
    LedgerEntry entry = require(job);
    int held = entry.countAcknowledged(peers);
    if (entry.isLogged()) {
      return new ReplicationStatus(ReplicationStatus.Level.SYNCED, held);
    }
    return new ReplicationStatus(
        held > 0 ? ReplicationStatus.Level.PEERS : ReplicationStatus.Level.ALONE, held);
  }

  /**
   * Tells whether the attempt named by {@link #recordStart} may be started. A single task that may
   * be repeated always may. Anything else waits until the log or every configured peer holds the
   * record of its start: whoever becomes keeper next then knows that it may have run, and completes
   * the starts of a gang (the commit record of two-phase commit; Gray, Notes on Data Base Operating
   * Systems, 1978).
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

  // Writes of the keeper

  /**
   * Accepts a job. The same job sent again is accepted again without effect.
   *
   * @param term term of the office
   * @throws ConflictException when the id was used with other content
   * @since 0.1
   */
  public List<LedgerAction> accept(JobSpec spec, Term term, long nowMillis)
      throws ConflictException {
    LedgerEntry known = entries.get(spec.id());
    if (known == null) {
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
    if (!known.record().spec().equals(spec)) {
      throw new ConflictException(
          "job " + spec.id() + " was submitted before with other content",
          "send the same content again, or use a new id",
          "body .id");
    }
    return List.of();
  }

  /**
   * Records that an attempt is about to be started. Ask {@link #mayStart} before each start.
   *
   * @throws ConflictException when the job is over, leaves the domain or is written by a later
   *     keeper, or may not be repeated and may have been started before
   * @since 0.1
   */
  public List<LedgerAction> recordStart(JobId job, int attempt, Term term, long nowMillis)
      throws NotFoundException, ConflictException {
    LedgerEntry entry = require(job);
    LedgerRecord record = entry.record();
    boolean repeated = record.startedAttempt() > 0 && !record.spec().repeatable();
    boolean replaced = record.stamp().term().isAfter(term);
    if (!isActiveHere(entry) || repeated || replaced || attempt <= record.startedAttempt()) {
      throw new ConflictException(
          "attempt " + attempt + " of job " + job + " may not be started",
          "end the job, with an unknown outcome if it may have run",
          "");
    }
    return write(
        entry,
        record.withPhase(attempt, JobPhase.STARTING).withStartedAttempt(attempt),
        term,
        nowMillis);
  }

  /**
   * Records a phase that is not final. Nothing changes once the job is over, or for an attempt that
   * has been replaced.
   *
   * @since 0.1
   */
  public List<LedgerAction> recordPhase(
      JobId job, int attempt, JobPhase phase, Term term, long nowMillis) throws NotFoundException {
    LedgerEntry entry = require(job);
    LedgerRecord record = entry.record();
    boolean same = attempt == record.attempt() && phase == record.phase();
    boolean replaced = record.stamp().term().isAfter(term);
    if (record.isFinal() || attempt < record.attempt() || same || replaced) {
      return List.of();
    }
    return write(entry, record.withPhase(attempt, phase), term, nowMillis);
  }

  /**
   * Records the final answer. The first one stays: a later one has no effect.
   *
   * @since 0.1
   */
  public List<LedgerAction> finish(JobId job, FinalOutcome answer, Term term, long nowMillis)
      throws NotFoundException {
    LedgerEntry entry = require(job);
    if (entry.record().isFinal()) {
      return List.of();
    }
    return write(entry, entry.record().withOutcome(answer), term, nowMillis);
  }

  /**
   * Begins to move a job that waits to another home. First the log or every configured peer has to
   * hold the intent, so that no later keeper of this domain starts the job; then the move itself is
   * proposed to the log, by {@link #tick}, and {@link #handleLogCommit} or {@link #merge} carries
   * it out.
   *
   * @throws ConflictException when the job is over, or runs
   * @since 0.1
   */
  public List<LedgerAction> transfer(JobId job, FailureDomainId to, Term term, long nowMillis)
      throws NotFoundException, ConflictException {
    LedgerEntry entry = require(job);
    if (entry.record().phase() != JobPhase.QUEUED || !isActiveHere(entry)) {
      throw new ConflictException(
          "job " + job + " is " + entry.record().phase() + " in " + entry.record().home(),
          "transfer jobs that wait, from their home domain",
          "");
    }
    return write(entry, entry.record().withTransferTo(to), term, nowMillis);
  }

  // Events

  /**
   * Takes over a record from a peer, the log or a worker. The caller acknowledges it to a peer
   * afterwards.
   *
   * @return whether something new was learnt
   * @since 0.1
   */
  public boolean merge(LedgerRecord record, long nowMillis) {
    LedgerEntry entry = entries.get(record.spec().id());
    if (entry == null) {
      entries.put(record.spec().id(), new LedgerEntry(record, nowMillis));
      return true;
    }
    LedgerRecord merged = entry.record().merge(record);
    boolean news = !merged.equals(entry.record());
    if (news) {
      entry.replace(merged, nowMillis);
    }
    return news;
  }

  /**
   * Notes that a peer has merged a record.
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
   * Notes that the log has recorded a version. It is merged as well, which carries out a transfer.
   *
   * @since 0.1
   */
  public void handleLogCommit(LedgerRecord recorded, long nowMillis) {
    merge(recorded, nowMillis);
    LedgerEntry entry = entries.get(recorded.spec().id());
    if (entry.record().equals(recorded)) {
      entry.markLogged();
    }
  }

  /**
   * Sends again what was not acknowledged and drops answers that were kept long enough. To be
   * called by the keeper; every other instance calls {@link #expire} only.
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
   * Drops answers that were kept long enough.
   *
   * @since 0.1
   */
  public void expire(long nowMillis) {
    entries
        .values()
        .removeIf(entry -> entry.isExpired(nowMillis, settings.outcomeRetentionMillis()));
  }

  // Internals

  private List<LedgerAction> write(
      LedgerEntry entry, LedgerRecord content, Term term, long nowMillis) {
    RecordStamp last = entry.record().stamp();
    Term written = last.term().isAfter(term) ? last.term() : term;
    RecordStamp next = new RecordStamp(last.transfers(), written, last.version() + 1);
    entry.replace(content.withStamp(next), nowMillis);
    return replicationActions(entry);
  }

  private List<LedgerAction> replicationActions(LedgerEntry entry) {
    List<LedgerAction> actions = new ArrayList<>();
    List<InstanceId> missing = entry.unacknowledged(peers);
    if (!missing.isEmpty()) {
      actions.add(new LedgerAction.ReplicateToPeers(entry.record(), missing));
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
   * Returns the error for a job that is not known, or that a caller may not know of.
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
