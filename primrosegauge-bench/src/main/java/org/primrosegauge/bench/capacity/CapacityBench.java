package org.primrosegauge.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobLedger;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.LedgerRecord;
import org.primrosegauge.core.job.RecordStamp;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.job.cfg.LedgerSettings;
import org.primrosegauge.core.membership.InstanceStatus;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.wire.Frame;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import org.primrosegauge.wire.WireMappers;
import org.primrosegauge.wire.target.TaskReport;
import org.primrosegauge.wire.target.WorkerAnnouncement;
import org.primrosegauge.wire.target.WorkerRenewal;

/**
 * Measures what one more task, job or instance costs, each at three sizes, and prints the slope
 * between the smallest and the largest. Single-threaded; nothing leaves the process.
 */
public final class CapacityBench {

  private static final int WARM_UP_ROUNDS = 2_000;
  private static final int ROUNDS = 2_000;
  private static final int GC_ROUNDS = 4;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final int[] TASKS_PER_WORKER = {0, 18, 36};
  private static final int[] JOBS = {1_000, 5_700, 20_000};
  private static final Resources TASK_RESOURCES = new Resources(4_000, 16_000, 1);
  private static final FailureDomainId DOMAIN = new FailureDomainId("domain-07");

  private final ObjectMapper json = WireMappers.json();
  private final ObjectMapper messagePack = WireMappers.messagePack();

  private CapacityBench() {}

  /**
   * Entry point.
   *
   * @since 0.1
   */
  public static void main(String[] args) throws IOException {
    CapacityBench bench = new CapacityBench();
    bench.announcements();
    bench.renewals();
    bench.statuses();
    bench.ledger();
  }

  private void announcements() throws IOException {
    double[] bytes = new double[TASKS_PER_WORKER.length];
    double[] micros = new double[TASKS_PER_WORKER.length];
    for (int i = 0; i < TASKS_PER_WORKER.length; i++) {
      byte[] document = json.writeValueAsBytes(announcement(TASKS_PER_WORKER[i]));
      bytes[i] = document.length;
      micros[i] = microsOf(() -> json.readValue(document, WorkerAnnouncement.class));
      print("announcement.tasks-" + TASKS_PER_WORKER[i] + ".bytes", bytes[i], "B");
      print("announcement.tasks-" + TASKS_PER_WORKER[i] + ".read", micros[i], "us");
    }
    printSlope("announcement.slope.bytes", TASKS_PER_WORKER, bytes, "B/task");
    printSlope("announcement.slope.read", TASKS_PER_WORKER, micros, "us/task");
  }

  private void renewals() throws IOException {
    byte[] document = json.writeValueAsBytes(new WorkerRenewal(System.currentTimeMillis()));
    print("renewal.bytes", document.length, "B");
    print("renewal.read", microsOf(() -> json.readValue(document, WorkerRenewal.class)), "us");
  }

  private void statuses() throws IOException {
    FrameCodec codec =
        new FrameCodec(MessageTypes.builder().family("status", InstanceStatus.class).build());
    InstanceId instance = new InstanceId("domain-07-2");
    InstanceStatus status =
        new InstanceStatus(
            instance,
            DOMAIN,
            System.currentTimeMillis(),
            100_000,
            true,
            new Term(1_000),
            new Revision(50_000),
            new Revision(10),
            1_000,
            "http://10.0.0.1:7300");
    byte[] frame = codec.encode(Frame.tell(instance, status));
    print("status.bytes", frame.length, "B");
    print("status.encode", microsOf(() -> codec.encode(Frame.tell(instance, status))), "us");
    print("status.decode", microsOf(() -> decode(codec, frame)), "us");
  }

  private void ledger() throws JsonProcessingException {
    print("job-record.bytes", messagePack.writeValueAsBytes(record(1)).length, "B");
    double[] bytes = new double[JOBS.length];
    double[] micros = new double[JOBS.length];
    for (int i = 0; i < JOBS.length; i++) {
      int jobs = JOBS[i];
      bytes[i] = heapOf(this::fill, jobs, ledger -> ledger.records().size());
      JobLedger ledger = fill(jobs);
      micros[i] = microsOf(() -> ledger.tick(0));
      print("ledger.jobs-" + jobs + ".heap", bytes[i], "B");
      print("ledger.jobs-" + jobs + ".tick", micros[i], "us");
    }
    printSlope("ledger.slope.heap", JOBS, bytes, "B/job");
    printSlope("ledger.slope.tick", JOBS, micros, "us/job");
  }

  // Content of a usual size

  private WorkerAnnouncement announcement(int tasks) throws JsonProcessingException {
    List<TaskReport> reports = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      JobSpec job = job(i / 4);
      reports.add(
          new TaskReport(
              new TaskId(job.id(), 1, i), true, TASK_RESOURCES, json.writeValueAsString(job)));
    }
    return new WorkerAnnouncement(
        "http://10.0.0.1:7400/domain-07-worker-100",
        DOMAIN,
        new RackId("domain-07-rack-16"),
        new Resources(64_000, 256_000, 36),
        false,
        reports,
        List.of(),
        System.currentTimeMillis());
  }

  private static JobSpec job(int number) {
    return new JobSpec(
        new JobId("domain-07.0123456789ab-" + number),
        new CustomerId("team-42"),
        8,
        TASK_RESOURCES,
        Adjacency.RACK,
        true,
        false,
        true,
        true,
        3_600_000,
        0,
        "run 3600000");
  }

  private static LedgerRecord record(int number) {
    return new LedgerRecord(
        job(number),
        DOMAIN,
        Optional.empty(),
        new RecordStamp(0, new Term(3), 5),
        1,
        1,
        JobPhase.RUNNING,
        Optional.empty());
  }

  private JobLedger fill(int jobs) {
    JobLedger ledger = new JobLedger(DOMAIN, LedgerSettings.DEFAULT);
    for (int i = 0; i < jobs; i++) {
      ledger.handleLogCommit(record(i), 0);
    }
    return ledger;
  }

  // Measuring

  /** An operation that is timed. */
  @FunctionalInterface
  private interface Operation {
    Object run() throws IOException;
  }

  private static Object decode(FrameCodec codec, byte[] frame) throws IOException {
    try {
      return codec.decode(frame);
    } catch (org.primrosegauge.wire.WireException e) {
      throw new IOException(e);
    }
  }

  /** Returns the processor time of one operation, in microseconds, after a warm-up. */
  private static double microsOf(Operation operation) {
    try {
      long kept = 0;
      for (int i = 0; i < WARM_UP_ROUNDS; i++) {
        kept += operation.run().hashCode();
      }
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      long begin = threads.getCurrentThreadCpuTime();
      for (int i = 0; i < ROUNDS; i++) {
        kept += System.identityHashCode(operation.run());
      }
      long nanos = threads.getCurrentThreadCpuTime() - begin;
      if (kept == 0) {
        System.err.println("nothing was measured");
      }
      return nanos / NANOS_PER_MICRO / ROUNDS;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the heap that a state keeps alive, in bytes. */
  private static <S> double heapOf(IntFunction<S> factory, int size, ToDoubleFunction<S> use) {
    long before = usedHeap();
    S state = factory.apply(size);
    long after = usedHeap();
    if (use.applyAsDouble(state) == 0) {
      System.err.println("nothing was kept");
    }
    return after - before;
  }

  private static long usedHeap() {
    for (int i = 0; i < GC_ROUNDS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void printSlope(String name, int[] sizes, double[] values, String unit) {
    int last = sizes.length - 1;
    print(name, (values[last] - values[0]) / (sizes[last] - sizes[0]), unit);
  }

  private static void print(String name, double value, String unit) {
    System.out.println(Figure.plain("capacity." + name, value, unit, Double.NaN).json());
  }
}
