package org.primrosegauge.node.keeper;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.keeper.KeeperLease;
import org.primrosegauge.core.schedule.DomainScheduler;
import org.primrosegauge.core.schedule.Explanation;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.job.JobMessage;
import org.primrosegauge.wire.api.JobView;
import reactor.core.publisher.Mono;

/**
 * Answers the questions of other instances about the jobs of the domain. Reads are answered by
 * every instance of the domain, decisions by its keeper only.
 *
 * <p>{@link #answer} may be called from any thread; all else runs on the keeper duty.
 */
final class JobDesk {

  private static final String REFUSED_PREFIX = "refused-";
  private static final Duration HOLD_CHECK_INTERVAL = Duration.ofMillis(10);
  private static final Duration HOLD_MOST = Duration.ofMillis(1_500);

  private final FailureDomainId domain;
  private final KeeperLease lease;
  private final DomainScheduler scheduler;
  private final JobBook jobs;
  private final MonotonicClock clock;
  private final Duty duty;
  private final Consumer<List<SchedulerAction>> performer;
  private final BooleanSupplier knowsAllJobs;

  /** Creates the desk; an unknown job is only denied while all jobs of the domain are known. */
  JobDesk(
      FailureDomainId domain,
      KeeperLease lease,
      DomainScheduler scheduler,
      JobBook jobs,
      MonotonicClock clock,
      Duty duty,
      Consumer<List<SchedulerAction>> performer,
      BooleanSupplier knowsAllJobs) {
    this.domain = domain;
    this.lease = lease;
    this.scheduler = scheduler;
    this.jobs = jobs;
    this.clock = clock;
    this.duty = duty;
    this.performer = performer;
    this.knowsAllJobs = knowsAllJobs;
  }

  /** Answers one question; an error of the question itself becomes a refusal. */
  Mono<JobMessage> answer(JobMessage.Question question) {
    Mono<JobMessage> decided =
        duty.ask(
            () -> {
              try {
                return decide(question);
              } catch (PrimrosegaugeException e) {
                return JobMessage.Refused.of(e);
              }
            });
    return question instanceof JobMessage.Submit submit
        ? decided.flatMap(answer -> whenHeld(submit.job().id(), answer))
        : decided;
  }

  /** Delays the acceptance of a job until somebody else holds its record, for a bounded time. */
  private Mono<JobMessage> whenHeld(JobId job, JobMessage accepted) {
    if (!(accepted instanceof JobMessage.Found)) {
      return Mono.just(accepted);
    }
    return duty.ask(() -> jobs.isHeldAlone(job))
        .repeatWhen(rounds -> rounds.delayElements(HOLD_CHECK_INTERVAL))
        .takeUntil(alone -> !alone)
        .take(HOLD_MOST)
        .then(duty.<JobMessage>ask(() -> new JobMessage.Found(view(job))));
  }

  private JobMessage decide(JobMessage.Question question) throws PrimrosegaugeException {
    if (question instanceof JobMessage.Replicate replicate) {
      jobs.merge(replicate.record());
      return new JobMessage.Replicated();
    } else if (question instanceof JobMessage.ReadRecords read) {
      return new JobMessage.Records(jobs.recordsAfter(read.after(), read.most()));
    } else if (question instanceof JobMessage.Show show) {
      return new JobMessage.Found(view(show.job()));
    } else if (question instanceof JobMessage.ListAll list) {
      return new JobMessage.FoundAll(jobs.views(list.most()));
    }
    requireOffice();
    if (question instanceof JobMessage.Submit submit) {
      return new JobMessage.Found(submit(submit.job()));
    }
    return new JobMessage.Found(cancel(((JobMessage.Cancel) question).job()));
  }

  private void requireOffice() throws PrimrosegaugeException {
    if (!lease.mayStart(clock.nowMillis())) {
      throw new PrimrosegaugeException(
          ErrorKind.UNAVAILABLE,
          "this instance is not the keeper of failure domain " + domain,
          "come back in a second",
          "");
    }
  }

  private JobView submit(JobSpec job) throws PrimrosegaugeException {
    if (jobs.accept(job, lease.term())) {
      performer.accept(scheduler.submit(job, clock.nowMillis()));
    }
    JobView view = view(job.id());
    if (view.phase() == JobPhase.FAILED && view.reason().startsWith(REFUSED_PREFIX)) {
      throw new PrimrosegaugeException(
          ErrorKind.INFEASIBLE,
          "job " + job.id() + " can never run here: " + view.reason(),
          remedy(view.reason()),
          "");
    }
    return view;
  }

  /** Returns what the caller of a refused job can do about it. */
  static String remedy(String reason) {
    if (reason.startsWith(JobReason.REFUSED_CUSTOMER.label())) {
      return "correct the customer's id, or ask an operator to configure the customer";
    } else if (reason.startsWith(JobReason.REFUSED_QUOTA.label())) {
      return "make the gang smaller, or ask an operator to raise the customer's quota";
    }
    return "make the gang or its tasks smaller, or name a larger failure domain in the id";
  }

  private JobView cancel(JobId job) throws PrimrosegaugeException {
    requireKnown(job);
    performer.accept(scheduler.cancel(job, clock.nowMillis()));
    return view(job);
  }

  private void requireKnown(JobId job) throws PrimrosegaugeException {
    if (!jobs.isKnown(job) && !knowsAllJobs.getAsBoolean()) {
      throw new PrimrosegaugeException(
          ErrorKind.UNAVAILABLE,
          "the records of failure domain " + domain + " are still being read",
          "come back in a second",
          "");
    }
    jobs.requireKnown(job);
  }

  private JobView view(JobId job) throws PrimrosegaugeException {
    requireKnown(job);
    String waitsFor = scheduler.explain(job, clock.nowMillis()).map(this::describe).orElse(null);
    return jobs.view(job, waitsFor);
  }

  private String describe(Explanation explanation) {
    long waitedMillis = clock.nowMillis() - explanation.sinceMillis();
    String behind = explanation.behind().map(job -> " behind job " + job).orElse("");
    return explanation.reason().label()
        + behind
        + " for "
        + TimeUnit.MILLISECONDS.toSeconds(waitedMillis)
        + " s";
  }
}
