package org.primrosegauge.core.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

/** Any order of events against the promises of the scheduler. */
class SchedulerStateMachineTest {

  private static final int WORKERS = 4;
  private static final int PER_RACK = 2;
  private static final List<Guarantee> GUARANTEES =
      List.of(
          guarantee("one", new BlockShape(1, 8, Adjacency.WORKER)),
          guarantee("two", new BlockShape(2, 4, Adjacency.WORKER)));

  enum Kind {
    SUBMIT,
    SUBMIT_FIRM,
    SUBMIT_ONCE,
    SUBMIT_URGENT,
    ANSWER_YES,
    ANSWER_ALL,
    ANSWER_NO,
    DROP,
    CANCEL,
    FINISH,
    FAIL,
    LOSE_TASK,
    LOSE_WORKER,
    RETURN_WORKERS,
    LEAVE,
    TIME,
    SWITCH,
    NEW_TERM,
    CUT_STARTS
  }

  record Step(Kind kind, int first, int second) {}

  private final List<JobSpec> jobs = new ArrayList<>();
  private SiteModel site;
  private long revision;
  private long term;

  @Property(seed = "4102", tries = 1_500)
  void promisesHoldAfterAnyOrderOfEvents(@ForAll("steps") List<Step> steps) {
    begin();
    for (Step step : steps) {
      apply(step);
    }
    settle();
    checkNoGangInPart();
    reclaim(GUARANTEES.get(steps.size() % GUARANTEES.size()));
    checkNoGangInPart();
    checkNothingLeaked();
  }

  private void begin() {
    jobs.clear();
    revision = 1;
    term = 1;
    site = SiteModel.ready(SchedulingPolicy.DEFAULT, WORKERS, PER_RACK);
    List<Customer> customers = List.of(customer("none"), customer("one"), customer("two"));
    SiteConfiguration configuration =
        new SiteConfiguration(List.of(), List.of(), customers, GUARANTEES, List.of());
    site.apply(site.scheduler.configurationChanged(configuration, site.now));
  }

  private void apply(Step step) {
    switch (step.kind()) {
      case SUBMIT -> submit(step, true, true, false);
      case SUBMIT_FIRM -> submit(step, false, true, false);
      case SUBMIT_ONCE -> submit(step, true, false, false);
      case SUBMIT_URGENT -> submit(step, true, true, true);
      case ANSWER_YES -> answer(step, true);
      case ANSWER_ALL -> site.answerAll();
      case ANSWER_NO -> answer(step, false);
      case DROP -> drop(step);
      case CANCEL -> pick(step).ifPresent(this::cancel);
      case FINISH -> pick(step).ifPresent(site::finish);
      case FAIL -> endTask(step, TaskOutcome.FAILED);
      case LOSE_TASK -> endTask(step, TaskOutcome.LOST);
      case LOSE_WORKER -> site.lose(step.first() % WORKERS);
      case RETURN_WORKERS -> announceAll(WORKERS);
      case LEAVE ->
          site.apply(
              site.scheduler.workerLeaving(SiteModel.target(step.first() % WORKERS), site.now));
      case TIME -> site.advance(step.first() * 100L);
      case SWITCH -> switchDomain(step.first() % 2 == 0, step.second());
      case CUT_STARTS -> cutStarts(step);
      default -> newTerm(step.first() % (WORKERS + 1), step.second());
    }
  }

  private void submit(Step step, boolean preemptible, boolean repeatable, boolean urgent) {
    String customer = List.of("none", "one", "two").get(step.first() % 3);
    int each = List.of(1, 2, 4, 8).get(step.second() % 4);
    int tasks = 1 + step.first() % 4;
    JobSpec job =
        new JobSpec(
            new JobId("j" + jobs.size()),
            new CustomerId(customer),
            tasks,
            new Resources(1_000, 1_000, each),
            Adjacency.values()[step.second() % 3],
            step.second() % 5 == 0,
            urgent,
            preemptible,
            repeatable,
            60_000,
            0,
            "run");
    jobs.add(job);
    site.submit(job);
  }

  private Optional<JobSpec> pick(Step step) {
    return jobs.isEmpty() ? Optional.empty() : Optional.of(jobs.get(step.first() % jobs.size()));
  }

  private void answer(Step step, boolean yes) {
    if (!site.unanswered.isEmpty()) {
      site.answer(step.first() % site.unanswered.size(), yes);
    }
  }

  private void drop(Step step) {
    if (!site.unanswered.isEmpty()) {
      site.drop(step.first() % site.unanswered.size(), step.second() % 2 == 0);
    }
  }

  private void cancel(JobSpec job) {
    site.apply(site.scheduler.cancel(job.id(), site.now));
  }

  private void endTask(Step step, TaskOutcome outcome) {
    if (!site.running.isEmpty()) {
      List<TaskId> running = List.copyOf(site.running.keySet());
      site.end(running.get(step.first() % running.size()), outcome);
    }
  }

  private void announceAll(int count) {
    for (int i = 0; i < count; i++) {
      site.announce(i, PER_RACK);
    }
  }

  private void switchDomain(boolean out, int work) {
    site.out = out;
    DomainSwitch.RunningWorkPolicy running = DomainSwitch.RunningWorkPolicy.values()[work % 3];
    DomainSwitch order = new DomainSwitch(SiteModel.KLANG, out, running, new Revision(++revision));
    site.apply(site.scheduler.domainSwitched(order, site.now));
  }

  /** Lets every reservation be answered and changes the keeper amid the starts that follow. */
  private void cutStarts(Step step) {
    for (SchedulerAction action : List.copyOf(site.unanswered)) {
      int index = site.unanswered.indexOf(action);
      if (action instanceof SchedulerAction.Reserve && index >= 0) {
        site.answer(index, true);
      }
    }
    newTerm(step.first() % (WORKERS + 1), step.second());
  }

  /** Changes the keeper; each bit of {@code unsent} cuts off one start that is under way. */
  private void newTerm(int reporting, int unsent) {
    if (unsent % 4 == 3) {
      site.reserved.clear();
    }
    int number = 0;
    for (SchedulerAction action : List.copyOf(site.unanswered)) {
      if (action instanceof SchedulerAction.Start start && (unsent >> number++ & 1) == 1) {
        site.unsend(start);
      }
    }
    site.unanswered.removeIf(action -> action instanceof SchedulerAction.Reserve);
    site.apply(site.scheduler.leaseGranted(new Term(++term), SiteModel.LEASE_MILLIS, site.now));
    announceAll(reporting);
  }

  // Checks

  /** Brings the domain in, all workers back, and lets every message be answered. */
  private void settle() {
    switchDomain(false, 0);
    for (int i = 0; i < 30; i++) {
      announceAll(WORKERS);
      site.advance(1_000);
      site.answerAll();
    }
  }

  private void checkNoGangInPart() {
    Map<JobId, Integer> running = new HashMap<>();
    site.running.keySet().forEach(task -> running.merge(task.job(), 1, Integer::sum));
    for (JobSpec job : jobs) {
      int count = running.getOrDefault(job.id(), 0);
      assertWithMessage("tasks of %s, phase %s", job.id(), site.phase(job))
          .that(count == 0 || site.phase(job) == JobPhase.RUNNING)
          .isTrue();
      assertWithMessage("tasks of %s", job.id()).that(site.runningAttempts(job.id())).isAtMost(1);
    }
  }

  /** The customer gives up all its work and claims its entire guarantee. */
  private void reclaim(Guarantee guarantee) {
    for (JobSpec job : jobs) {
      if (job.customer().equals(guarantee.customer())) {
        cancel(job);
      }
    }
    site.answerAll();
    List<JobSpec> claims = new ArrayList<>();
    for (int i = 0; i < guarantee.shape().blocks(); i++) {
      JobSpec job = claim(guarantee, "claim" + i);
      claims.add(job);
      site.submit(job);
    }
    site.answerAll();
    for (JobSpec job : claims) {
      assertWithMessage("claim %s of %s", job.id(), guarantee)
          .that(site.phase(job))
          .isEqualTo(JobPhase.RUNNING);
    }
    jobs.addAll(claims);
  }

  private static JobSpec claim(Guarantee guarantee, String id) {
    return new JobSpec(
        new JobId(id),
        guarantee.customer(),
        1,
        new Resources(1_000, 1_000, guarantee.shape().acceleratorsPerBlock()),
        Adjacency.WORKER,
        true,
        false,
        false,
        true,
        0,
        0,
        "run");
  }

  private void checkNothingLeaked() {
    jobs.forEach(this::cancel);
    site.answerAll();
    assertWithMessage("tasks after all jobs were cancelled").that(site.running).isEmpty();
    JobSpec all = SiteModel.job("all", WORKERS * 8, 1);
    JobSpec entire =
        new JobSpec(
            all.id(),
            new CustomerId("none"),
            all.tasks(),
            all.perTask(),
            Adjacency.DOMAIN,
            false,
            false,
            true,
            true,
            0,
            0,
            "run");
    site.submit(entire);
    site.answerAll();
    assertWithMessage("gang over the entire domain")
        .that(site.phase(entire))
        .isEqualTo(JobPhase.RUNNING);
  }

  private static Customer customer(String id) {
    return new Customer(new CustomerId(id), 0, 1);
  }

  private static Guarantee guarantee(String customer, BlockShape shape) {
    return new Guarantee(new CustomerId(customer), SiteModel.KLANG, shape);
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Integer> number = Arbitraries.integers().between(0, 60);
    Arbitrary<Kind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(3, Arbitraries.of(Kind.class)),
            Tuple.of(2, Arbitraries.of(Kind.SUBMIT, Kind.SUBMIT_FIRM, Kind.ANSWER_ALL)));
    return Combinators.combine(kinds, number, number).as(Step::new).list().ofMaxSize(40);
  }
}
