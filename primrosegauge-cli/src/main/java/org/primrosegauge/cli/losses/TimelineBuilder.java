package org.primrosegauge.cli.losses;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.cli.losses.JobLog.Run;
import org.primrosegauge.cli.losses.JobLog.TimedLine;
import org.primrosegauge.cli.losses.JobTimeline.Outcome;

/**
 * Splits the time of one job along its critical path: for each step on it, the task that completed
 * it, with all its attempts.
 *
 * <p>Not thread-safe; one builder serves one job.
 */
final class TimelineBuilder {

  /** A run whose end is recorded within this time after a silence ended during that silence. */
  private static final long SILENCE_TAIL_MILLIS = 300;

  private static final String PREEMPTED_BY = "preempted by ";

  private final JobLog log;
  private final ScopeHistory scope;
  private final List<Segment> segments = new ArrayList<>();
  private final List<JobLog.Step> steps;
  private final Map<Integer, Map<Integer, List<Run>>> runs;

  /** Run times of the steps on the critical path, in milliseconds. */
  private long pathMillis;

  private String lastWorker = "";
  private long cursor;

  private TimelineBuilder(JobLog log, ScopeHistory scope) {
    this.log = log;
    this.scope = scope;
    this.steps = log.steps();
    this.runs = log.runs();
    this.cursor = log.firstCallMillis();
  }

  /** Returns the timeline of a job that the log names at least once. */
  static JobTimeline build(JobLog log, ScopeHistory scope) {
    return new TimelineBuilder(log, scope).build();
  }

  private JobTimeline build() {
    Optional<TimedLine> accepted = log.accepted();
    long lastMillis = log.lines().get(log.lines().size() - 1).atMillis();
    addIdle(accepted.map(TimedLine::atMillis).orElse(lastMillis), TimeReason.NOT_ACCEPTED);
    List<Integer> path = accepted.isPresent() ? criticalPath() : List.of();
    path.forEach(this::addStep);
    if (path.isEmpty() && accepted.isPresent()) {
      addIdle(lastMillis, TimeReason.WAITING);
    }
    if (segments.isEmpty()) {
      segments.add(new Segment(cursor, cursor, TimeReason.WAITING, ""));
    }
    return new JobTimeline(
        log.job(),
        accepted.map(line -> line.value("queue")).orElse(""),
        accepted.map(line -> line.value("customer")).orElse(""),
        scope.domainOf(lastWorker),
        outcome(accepted.isPresent(), !path.isEmpty()),
        objectiveMillis(),
        segments);
  }

  private Outcome outcome(boolean isAccepted, boolean isDone) {
    if (!log.of("CANCELLED").isEmpty()) {
      return Outcome.CANCELLED;
    } else if (isDone) {
      return Outcome.DONE;
    } else if (!isAccepted) {
      return Outcome.NEVER_ACCEPTED;
    }
    boolean hasFailed =
        log.of("ENDED").stream().anyMatch(line -> line.value("outcome").equals("FAILED"));
    return hasFailed ? Outcome.FAILED : Outcome.OPEN;
  }

  private long objectiveMillis() {
    double slack = log.acceptedNumber("slack").orElse(0);
    double latency = log.acceptedNumber("latency_ms").orElse(0);
    return slack > 0 && pathMillis > 0 ? (long) (slack * pathMillis + latency) : 0;
  }

  /** Returns the steps of the critical path, in order; empty if the last step is not done. */
  private List<Integer> criticalPath() {
    Map<Integer, Long> doneAt = new HashMap<>();
    runs.keySet()
        .forEach(step -> completingRun(step).ifPresent(run -> doneAt.put(step, endOf(run))));
    boolean isDone = !steps.isEmpty() && doneAt.size() == steps.size();
    List<Integer> path = new ArrayList<>();
    Optional<Integer> next = isDone ? latestOf(doneAt.keySet(), doneAt) : Optional.empty();
    while (next.isPresent()) {
      path.add(0, next.get());
      next = latestOf(steps.get(next.get()).dependsOn(), doneAt);
    }
    return path;
  }

  private static Optional<Integer> latestOf(Iterable<Integer> steps, Map<Integer, Long> doneAt) {
    Integer latest = null;
    for (Integer step : steps) {
      boolean isLater = latest == null || doneAt.get(step) > doneAt.get(latest);
      latest = isLater ? step : latest;
    }
    return Optional.ofNullable(latest);
  }

  /**
   * Returns the run that completed a step: of a gang the first that was done, which represents all
   * members, else the last.
   */
  private Optional<Run> completingRun(int step) {
    Comparator<Run> byEnd = Comparator.comparingLong(TimelineBuilder::endOf);
    boolean isGang = step < steps.size() && steps.get(step).isGang();
    return runs.getOrDefault(step, Map.of()).values().stream()
        .flatMap(List::stream)
        .filter(Run::isDone)
        .max(isGang ? byEnd.reversed() : byEnd);
  }

  private static long endOf(Run run) {
    return run.end().atMillis();
  }

  private void addStep(int step) {
    Run last = completingRun(step).orElseThrow();
    for (Run run : runs.get(step).get(last.name().task())) {
      if (run.end() != null && endOf(run) <= endOf(last)) {
        addRun(run);
      }
    }
  }

  private void addRun(Run run) {
    long placedAt = placedMillis(run);
    addWait(placedAt, run.name().step());
    if (run.begin() != null) {
      addIdle(Math.max(placedAt, run.begin().atMillis()), TimeReason.STARTING);
    }
    String name = "task " + run.name().task() + " attempt " + run.name().attempt();
    String detail = name + " on " + run.worker();
    if (run.isDone()) {
      lastWorker = run.worker();
      addDone(run, detail);
    } else {
      addRepeated(run, detail);
    }
  }

  /** Adds a run that did not complete; one that was stopped with a checkpoint did useful work. */
  private void addRepeated(Run run, String detail) {
    boolean isResumed = steps.get(run.name().step()).hasCheckpoints() && run.begin() != null;
    if (isResumed && run.end().value("outcome").equals("STOPPED")) {
      pathMillis += Math.max(0, endOf(run) - run.begin().atMillis());
    }
    add(attemptEndMillis(run), reasonOf(run), detail);
  }

  /** Returns when a run was over; for a member of a gang, when its whole attempt was. */
  private long attemptEndMillis(Run run) {
    if (!steps.get(run.name().step()).isGang()) {
      return endOf(run);
    }
    return runs.get(run.name().step()).values().stream()
        .flatMap(List::stream)
        .filter(member -> member.name().attempt() == run.name().attempt() && member.end() != null)
        .mapToLong(TimelineBuilder::endOf)
        .max()
        .orElse(endOf(run));
  }

  /** Adds the run that completed; at its end its worker may have been silent. */
  private void addDone(Run run, String detail) {
    long end = endOf(run);
    long silentFrom =
        scope.silencesOf(run.worker()).stream()
            .map(silence -> silence.within(cursor, end))
            .filter(
                silence -> !silence.isEmpty() && silence.toMillis() + SILENCE_TAIL_MILLIS >= end)
            .mapToLong(Interval::fromMillis)
            .findFirst()
            .orElse(end);
    long beganAt = cursor;
    add(silentFrom, TimeReason.RUNNING, detail);
    add(end, TimeReason.WORKER_SILENT, detail);
    pathMillis += Math.max(0, silentFrom - beganAt);
  }

  /** Returns when a run was placed: at the last placement of its step before it started. */
  private long placedMillis(Run run) {
    long limit = run.begin() == null ? endOf(run) : run.begin().atMillis();
    long placed =
        log.of("PLACED").stream()
            .filter(line -> isAboutStep(line, run.name().step()))
            .mapToLong(TimedLine::atMillis)
            .filter(at -> at <= limit)
            .max()
            .orElse(limit);
    return Math.max(cursor, placed);
  }

  private boolean isAboutStep(TimedLine line, int step) {
    return line.value("step").equals(log.job() + ".0." + step);
  }

  /** Returns why a run had to be repeated. */
  private TimeReason reasonOf(Run run) {
    return switch (run.end().value("outcome")) {
      case "FAILED" -> TimeReason.FAILED;
      case "WORKER_LOST", "LAPSED" -> stopReason(run).orElse(TimeReason.WORKER_LOST);
      case "NEVER_STARTED" -> startReason(run);
      default -> stopReason(run).orElse(TimeReason.GANG_BROKEN);
    };
  }

  private TimeReason startReason(Run run) {
    boolean isUnanswered =
        log.of("START_UNANSWERED").stream().anyMatch(line -> isSameAttempt(line, run));
    return isUnanswered ? TimeReason.START_IN_DOUBT : TimeReason.START_REJECTED;
  }

  /** Returns why the run, or a member of its gang in the same attempt, was first stopped. */
  private Optional<TimeReason> stopReason(Run run) {
    return log.of("STOPPING").stream()
        .filter(line -> isSameAttempt(line, run))
        .findFirst()
        .map(line -> reasonOfStop(line.line().rest("why")));
  }

  private static boolean isSameAttempt(TimedLine line, Run run) {
    return RunName.parse(line.value("run"))
        .filter(name -> name.occurrence() == 0)
        .filter(name -> name.step() == run.name().step())
        .filter(name -> name.attempt() == run.name().attempt())
        .isPresent();
  }

  private static TimeReason reasonOfStop(String why) {
    if (why.startsWith(PREEMPTED_BY)) {
      return TimeReason.PREEMPTED;
    } else if (why.startsWith("start of member")) {
      return TimeReason.START_IN_DOUBT;
    } else if (why.startsWith("gang member")) {
      return TimeReason.GANG_BROKEN;
    } else if (why.equals("worker drains")) {
      return TimeReason.DRAINED;
    }
    return why.equals("no progress") ? TimeReason.STALLED : TimeReason.STOPPED;
  }

  /** Adds the time until a step was placed, by the reasons that the log names meanwhile. */
  private void addWait(long untilMillis, int step) {
    TimeReason reason = TimeReason.WAITING;
    boolean isFirst = true;
    for (TimedLine line : log.lines()) {
      boolean isWithin = line.atMillis() >= cursor && line.atMillis() <= untilMillis;
      Optional<TimeReason> next =
          isWithin && isAboutStep(line, step) ? waitReason(line) : Optional.empty();
      if (next.isPresent()) {
        // The reason is logged a while after the wait has begun and holds for all of it.
        addIdle(isFirst ? cursor : line.atMillis(), reason);
        reason = next.get();
        isFirst = false;
      }
    }
    addIdle(untilMillis, reason);
  }

  private static Optional<TimeReason> waitReason(TimedLine line) {
    if (line.event().equals("PREEMPTING")) {
      return Optional.of(TimeReason.PREEMPTING);
    } else if (!line.event().equals("WAITING")) {
      return Optional.empty();
    }
    return Optional.of(
        switch (line.value("reason")) {
          case "CAPACITY" -> TimeReason.NO_CAPACITY;
          case "HEADROOM" -> TimeReason.HEADROOM;
          case "RESERVED" -> TimeReason.RESERVED;
          case "LOCALITY" -> TimeReason.LOCALITY;
          case "CONFIRMATION" -> TimeReason.CONFIRMING;
          default -> TimeReason.WAITING;
        });
  }

  /** Adds time in which the job did not run; a part without a leader counts as that. */
  private void addIdle(long untilMillis, TimeReason reason) {
    for (Interval gap : scope.leaderless()) {
      Interval part = gap.within(cursor, untilMillis);
      if (!part.isEmpty()) {
        add(part.fromMillis(), reason, "");
        add(part.toMillis(), TimeReason.NO_LEADER, "");
      }
    }
    add(untilMillis, reason, "");
  }

  private void add(long untilMillis, TimeReason reason, String detail) {
    if (untilMillis > cursor) {
      segments.add(new Segment(cursor, untilMillis, reason, detail));
      cursor = untilMillis;
    }
  }
}
