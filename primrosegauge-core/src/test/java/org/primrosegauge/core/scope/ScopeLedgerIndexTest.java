package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;

/** Compares the indexes of the ledger with full scans of its contents, after random commands. */
class ScopeLedgerIndexTest {

  private static final String SEED = "20261204";
  private static final ServiceId POOL = new ServiceId("pool");
  private static final ServiceId OTHER_POOL = new ServiceId("other");
  private static final Resources SMALL = new Resources(1_000, 1_000, 1);
  private static final long RETENTION_MILLIS = 60;
  private static final int COMMANDS = 250;
  private static final int QUEUES = 3;

  private ScopeLedger ledger = new ScopeLedger(RETENTION_MILLIS);
  private Random random = new Random(0);
  private long now;
  private int revision;

  @Property(tries = 150, seed = SEED, shrinking = ShrinkingMode.OFF)
  void indexesMatchFullScans(@ForAll @LongRange(min = 1) long seed) {
    ledger = new ScopeLedger(RETENTION_MILLIS);
    random = new Random(seed);
    now = 1_000;
    revision = 0;
    configure();
    for (int i = 0; i < COMMANDS; i++) {
      now += random.nextInt(8);
      if (random.nextInt(20) == 0) {
        restoreIntoOtherLedger();
      }
      applyRandomCommand();
      checkJobs();
      checkPendingWork();
      checkPools();
    }
  }

  private void checkJobs() {
    assertThat(ledger.unfinishedJobs())
        .containsExactlyElementsIn(
            ledger.jobs().stream().filter(job -> !job.status().isFinal()).toList())
        .inOrder();
    Set<QueueName> queuesWithQueuedJobs = new HashSet<>();
    for (int i = 0; i < QUEUES; i++) {
      QueueName queue = queue(i);
      assertThat(ledger.queuedJobs(queue)).isEqualTo(queued(queue).count());
      OptionalLong oldest = queued(queue).mapToLong(job -> job.job().submittedMillis()).min();
      assertThat(ledger.oldestQueuedMillis(queue)).isEqualTo(oldest);
      if (oldest.isPresent()) {
        queuesWithQueuedJobs.add(queue);
      }
    }
    assertThat(ledger.queuesWithQueuedJobs()).isEqualTo(queuesWithQueuedJobs);
  }

  private void checkPendingWork() {
    for (ServiceId pool : List.of(POOL, OTHER_POOL)) {
      Resources capacity =
          ledger.workers().stream()
              .map(WorkerRecord::info)
              .filter(info -> info.pool().equals(pool))
              .filter(info -> !ledger.domainsOut().contains(info.domain()))
              .map(WorkerInfo::capacity)
              .reduce(Resources.NONE, Resources::plus);
      assertThat(ledger.capacity(pool)).isEqualTo(capacity);
      for (int priority = 0; priority < QUEUES; priority++) {
        assertThat(ledger.pendingWork(pool, priority)).isEqualTo(pendingWork(pool, priority));
      }
    }
  }

  private PendingWork pendingWork(ServiceId pool, int priority) {
    double accelerators = 0;
    double cores = 0;
    for (JobEntry entry : ledger.jobs()) {
      boolean isBefore =
          !entry.status().isFinal()
              && entry.job().pool().equals(pool)
              && ledger.configuration().priorityOf(entry.job().queue()) <= priority;
      for (StepRecord step : isBefore ? stepsOf(entry) : List.<StepRecord>of()) {
        long pending =
            step.tasks().stream().filter(task -> !task.isDone() && !task.isOpen()).count();
        assertThat(step.pendingTasks()).isEqualTo(pending);
        double millis =
            step.spec().longRunning() ? 0 : (double) pending * step.spec().estimatedMillis();
        accelerators += millis * step.spec().task().accelerators();
        cores += millis * step.spec().task().milliCores();
      }
    }
    return new PendingWork(accelerators, cores);
  }

  private static List<StepRecord> stepsOf(JobEntry entry) {
    return entry.occurrences().values().stream().flatMap(List::stream).toList();
  }

  private Stream<JobEntry> queued(QueueName queue) {
    return ledger.jobs().stream()
        .filter(job -> job.status() == JobStatus.QUEUED && job.job().queue().equals(queue));
  }

  private Set<JobId> keptAfter(ScopeJob submitted, long retentionNowMillis) {
    Set<JobId> expected =
        ledger.jobs().stream()
            .filter(
                entry ->
                    !entry.status().isFinal()
                        || entry.openRuns() > 0
                        || entry.endedMillis() + RETENTION_MILLIS >= retentionNowMillis)
            .map(entry -> entry.job().id())
            .collect(Collectors.toSet());
    expected.add(submitted.id());
    return expected;
  }

  private Set<WorkerKey> keptAfter(WorkerInfo announced) {
    Set<WorkerKey> all =
        ledger.workers().stream().map(worker -> worker.info().key()).collect(Collectors.toSet());
    Set<WorkerKey> sharing =
        ledger.workers().stream()
            .map(WorkerRecord::info)
            .filter(
                known ->
                    known.key().target().equals(announced.key().target())
                        || known.address().equals(announced.address()))
            .map(WorkerInfo::key)
            .collect(Collectors.toSet());
    long born = announced.key().bornMillis();
    if (sharing.stream().anyMatch(known -> known.bornMillis() > born)) {
      return all;
    }
    sharing.removeIf(known -> known.bornMillis() >= born);
    all.removeAll(sharing);
    all.add(announced.key());
    return all;
  }

  /** Restores a snapshot into another, non-empty ledger and continues with that one. */
  private void restoreIntoOtherLedger() {
    ScopeSnapshot snapshot = ledger.snapshot();
    ledger = new ScopeLedger(RETENTION_MILLIS);
    for (int i = 0; i < 3; i++) {
      submit();
    }
    ledger.restore(snapshot);
    assertThat(ledger.snapshot()).isEqualTo(snapshot);
    checkJobs();
  }

  private void applyRandomCommand() {
    switch (random.nextInt(15)) {
      case 14 -> configure();
      case 12 -> switchDomain();
      case 13 -> beginOccurrence();
      case 0 -> registerWorker();
      case 1 -> ledger.apply(new ScopeCommand.ForgetWorker(workerKey()));
      case 2 -> ledger.apply(new ScopeCommand.Cancel(jobId(), now));
      case 3, 4, 5 -> submit();
      case 6, 7, 8 -> place();
      default -> recordEnds();
    }
  }

  private void configure() {
    List<QueueSpec> queues = new ArrayList<>();
    for (int i = 0; i < QUEUES; i++) {
      if (revision == 0 || random.nextInt(4) > 0) {
        queues.add(spec("q" + i, i, random.nextInt(3) == 0 ? OTHER_POOL : POOL));
      }
    }
    ledger.apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(++revision), queues, List.of(), 1_000), "text"));
  }

  private void checkPools() {
    for (JobEntry entry : ledger.unfinishedJobs()) {
      ledger
          .configuration()
          .poolOf(entry.job().queue())
          .ifPresent(pool -> assertThat(entry.job().pool()).isEqualTo(pool));
    }
  }

  private void switchDomain() {
    FailureDomainId domain = new FailureDomainId("d" + random.nextInt(3));
    ledger.apply(new ScopeCommand.SwitchDomain(domain, random.nextBoolean()));
  }

  /** Creates the steps of an occurrence, as the planner does when the occurrence is due. */
  private void beginOccurrence() {
    ledger
        .job(jobId())
        .filter(job -> !job.status().isFinal() && !job.isDone(0))
        .ifPresent(job -> job.occurrence(0));
  }

  private void registerWorker() {
    WorkerInfo announced =
        new WorkerInfo(
            workerKey(),
            new HostPort("10.0.0." + random.nextInt(5), 80),
            random.nextInt(3) == 0 ? OTHER_POOL : POOL,
            new FailureDomainId("d" + random.nextInt(3)),
            new Resources(1_000 + random.nextInt(5), 1_000, 1 + random.nextInt(3)),
            List.of(),
            "");
    Set<WorkerKey> expected = keptAfter(announced);
    ledger.apply(new ScopeCommand.SeeWorker(announced));
    assertThat(ledger.workers().stream().map(worker -> worker.info().key()).toList())
        .containsExactlyElementsIn(expected);
  }

  private void submit() {
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(2);
    for (int i = 0; i < count; i++) {
      steps.add(
          StepSpec.builder(1 + random.nextInt(3))
              .task(SMALL)
              .estimatedMillis(random.nextInt(3) * 100)
              .longRunning(random.nextInt(8) == 0)
              .gang(random.nextInt(3) == 0)
              .build());
    }
    Recurrence recurrence = random.nextInt(4) == 0 ? new Recurrence(now, 10, 2) : Recurrence.NONE;
    // The clocks of leaders differ, so a later submission may have an earlier time.
    long submitted = now - random.nextInt(20);
    ScopeJob job =
        new ScopeJob(
            jobId(),
            queue(random.nextInt(QUEUES)),
            random.nextInt(3) == 0 ? OTHER_POOL : POOL,
            null,
            2,
            submitted,
            "payload",
            steps,
            recurrence);
    RetentionClock clock = new RetentionClock();
    clock.restore(ledger.snapshot().retention());
    clock.advance(submitted);
    Set<JobId> expected = keptAfter(job, clock.nowMillis());
    ledger.apply(new ScopeCommand.Submit(job));
    assertThat(ledger.jobs().stream().map(entry -> entry.job().id()).toList())
        .containsExactlyElementsIn(expected);
  }

  private void place() {
    JobId id = jobId();
    JobEntry job = ledger.job(id).orElse(null);
    if (job == null) {
      return;
    }
    int stepNumber = random.nextInt(job.job().steps().size());
    StepKey step = new StepKey(id, random.nextInt(2), stepNumber);
    List<Placement> placements = new ArrayList<>();
    for (int index = 0; index < job.job().steps().get(stepNumber).count(); index++) {
      RunId run = new RunId(step.task(index), 1 + random.nextInt(4));
      placements.add(new Placement(run, anyWorker()));
    }
    ledger.apply(new ScopeCommand.Place(placements));
  }

  private void recordEnds() {
    Collection<WorkerRecord> workers = ledger.workers();
    if (workers.isEmpty()) {
      return;
    }
    WorkerRecord worker = List.copyOf(workers).get(random.nextInt(workers.size()));
    RunOutcome[] outcomes = RunOutcome.values();
    List<RunEnd> ends =
        worker.openRuns().stream()
            .filter(run -> random.nextBoolean())
            .map(run -> new RunEnd(run, outcomes[random.nextInt(outcomes.length)], ""))
            .toList();
    ledger.apply(new ScopeCommand.RecordEnds(worker.info().key(), 0, ends, now));
  }

  private WorkerKey anyWorker() {
    List<WorkerRecord> workers = List.copyOf(ledger.workers());
    return workers.isEmpty()
        ? workerKey()
        : workers.get(random.nextInt(workers.size())).info().key();
  }

  private WorkerKey workerKey() {
    return new WorkerKey(new TargetId("w" + random.nextInt(5)), 1 + random.nextInt(6));
  }

  private JobId jobId() {
    return new JobId("job-" + random.nextInt(25));
  }

  private static QueueName queue(int number) {
    return new QueueName("q" + number);
  }

  /** If names, ids or keys are equal, the first entry is found, as in a linear scan. */
  @Test
  void configurationFindsTheFirstOfEqualEntries() {
    CustomerId customer = new CustomerId("c");
    CustomerId other = new CustomerId("d");
    ScopeConfiguration configuration =
        new ScopeConfiguration(
            new Revision(1),
            List.of(spec("a", 2), spec("b", 1), spec("a", 0)),
            List.of(
                new CustomerSpec(customer, List.of("k1", "k2"), 4),
                new CustomerSpec(other, List.of("k2", "k3"), 8),
                new CustomerSpec(customer, List.of("k4"), 16)),
            1_000);
    assertThat(configuration.priorityOf(new QueueName("a"))).isEqualTo(2);
    assertThat(configuration.priorityOf(new QueueName("none"))).isEqualTo(Integer.MAX_VALUE);
    assertThat(configuration.queue(new QueueName("b"))).hasValue(spec("b", 1));
    assertThat(configuration.customerOf("k2")).hasValue(customer);
    assertThat(configuration.customerOf("k3")).hasValue(other);
    assertThat(configuration.customerOf("k4")).hasValue(customer);
    assertThat(configuration.customerOf("none")).isEmpty();
    assertThat(configuration.guaranteedAccelerators(customer)).isEqualTo(4);
    assertThat(configuration.guaranteedAccelerators(new CustomerId("none"))).isEqualTo(0);
    assertThat(configuration.queues()).isEqualTo(List.of(spec("a", 2), spec("b", 1), spec("a", 0)));
  }

  private static QueueSpec spec(String name, int priority) {
    return spec(name, priority, POOL);
  }

  private static QueueSpec spec(String name, int priority, ServiceId pool) {
    return new QueueSpec(
        new QueueName(name), "host", "/" + name + "/", pool, priority, 3, 2.0, 0, true);
  }
}
