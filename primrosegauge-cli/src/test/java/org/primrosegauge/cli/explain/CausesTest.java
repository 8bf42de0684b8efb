package org.primrosegauge.cli.explain;

import static com.google.common.truth.Truth.assertThat;

import java.io.StringReader;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CausesTest {

  private static final String JOB = "5c0e7a21d94b36f8";

  /** Lines of one process, given as seconds and message. */
  private static String log(String... lines) {
    return List.of(lines).stream()
        .map(
            line -> {
              String[] parts = line.split(" ", 2);
              double seconds = Double.parseDouble(parts[0]);
              return String.format(
                  "{\"@timestamp\":\"2026-01-12T10:00:%06.3fZ\",\"message\":\"%s\"}",
                  seconds, parts[1]);
            })
        .collect(Collectors.joining("\n"));
  }

  private static Story story(String... logs) throws Exception {
    LogReader reader = new LogReader();
    for (int i = 0; i < logs.length; i++) {
      reader.read("p" + i, new StringReader(logs[i]));
    }
    return Story.of(JOB, reader.lines());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "event=REFUSED reason=NO_LEADER path=/q/5c0e7a21d94b36f8 status=503 | refused, never",
        "event=CANCELLED job=5c0e7a21d94b36f8 | cancelled by its caller",
        "event=ENDED run=5c0e7a21d94b36f8.0.0.1#3 worker=w@1 outcome=FAILED | 1 runs failed on 1",
        "event=ENDED run=5c0e7a21d94b36f8.0.0.1#3 worker=w@1 outcome=LAPSED | lost or cut off",
        "event=ENDED run=5c0e7a21d94b36f8.0.0.1#3 worker=w@1 outcome=BROKEN | another member",
        "event=STOPPING run=5c0e7a21d94b36f8.0.0.1#1 worker=w@1 why=preempted by ab | work: ab",
        "event=STOPPING run=5c0e7a21d94b36f8.0.0.1#1 worker=w@1 why=no progress | stood still",
        "event=START_UNANSWERED run=5c0e7a21d94b36f8.0.0.1#1 worker=w@1 try=1 | 1 starts got no",
      })
  void namesTheCauseThatTheLineShows(String message, String expected) throws Exception {
    assertThat(Causes.of(story(log("1 " + message))).get(0)).contains(expected);
  }

  @Test
  void longWaitIsNamedWithItsLength() throws Exception {
    Story story =
        story(
            log(
                "1.0 event=ACCEPTED job=" + JOB + " queue=q",
                "9.5 event=STARTED run=" + JOB + ".0.0.0#1 worker=w@1",
                "11.0 event=ENDED run=" + JOB + ".0.0.0#1 worker=w@1 outcome=DONE"));
    assertThat(Causes.of(story)).containsExactly("waited 8.5 s for workers before its first start");
  }

  @Test
  void roomThatHadToBeMadeIsNamed() throws Exception {
    Story story =
        story(
            log(
                "1.0 event=ACCEPTED job=" + JOB + " queue=q",
                "1.0 event=PREEMPTING step=" + JOB + ".0.0 victims=10",
                "1.8 event=STARTED run=" + JOB + ".0.0.0#1 worker=w@1",
                "3.0 event=ENDED run=" + JOB + ".0.0.0#1 worker=w@1 outcome=DONE"));
    assertThat(Causes.of(story)).containsExactly("waited 0.8 s until 10 other runs had given way");
  }

  @Test
  void jobThatRanAsItShouldHasNoCause() throws Exception {
    Story story =
        story(
            log(
                "1.0 event=ACCEPTED job=" + JOB + " queue=q",
                "1.1 event=STARTED run=" + JOB + ".0.0.0#1 worker=w@1",
                "2.0 event=ENDED run=" + JOB + ".0.0.0#1 worker=w@1 outcome=DONE"));
    assertThat(Causes.of(story)).isEmpty();
  }

  /** Another job's lines, other workers and later times stay out; the own workers' lines are in. */
  @Test
  void storyHoldsTheLinesThatMayExplainAndNoOthers() throws Exception {
    Story story =
        story(
            log(
                "1.0 event=ACCEPTED job=" + JOB + " queue=q",
                "1.1 event=ACCEPTED job=0000000000000000 queue=q",
                "1.2 event=STARTED run=" + JOB + ".0.0.0#1 worker=w@1",
                "1.3 event=WORKER_SILENT worker=w@1 answer=NO_ANSWER",
                "1.4 event=WORKER_SILENT worker=other@1 answer=NO_ANSWER",
                "1.5 event=OFFICE_TAKEN term=4",
                "40.0 event=OFFICE_TAKEN term=5"));
    List<String> events = story.lines().stream().map(LogLine::event).toList();
    assertThat(events)
        .containsExactly("ACCEPTED", "STARTED", "WORKER_SILENT", "OFFICE_TAKEN")
        .inOrder();
  }

  /** A process whose clock is ten seconds ahead: the news of a leader shows it. */
  @Test
  void linesOfProcessWithAnotherClockStandInTheirPlace() throws Exception {
    String accepting =
        log("1.0 event=LEADER leader=a term=7", "2.0 event=ACCEPTED job=" + JOB + " queue=q");
    String third = log("1.1 event=LEADER leader=a term=7");
    String ahead =
        log(
            "11.1 event=LEADER leader=a term=7",
            "11.5 event=REFUSED reason=NO_LEADER path=/q/" + JOB + " status=503");
    Story story = story(accepting, third, ahead);
    List<String> events =
        story.lines().stream().map(LogLine::event).filter(each -> !each.equals("LEADER")).toList();
    assertThat(events).containsExactly("REFUSED", "ACCEPTED").inOrder();
    assertThat(story.clocks().differing()).containsExactly("p2", 10_000L);
  }

  @Test
  void linesWithPrefixNameTheirProcessAndOthersAreCounted() throws Exception {
    LogReader reader = new LogReader();
    String line = log("1 event=CANCELLED job=" + JOB);
    reader.read("all", new StringReader("  12.5 core-1 " + line + "\nno json\n{\"a\":1}\n"));
    assertThat(reader.lines().get(0).source()).isEqualTo("core-1");
    assertThat(reader.unreadable()).isEqualTo(2);
  }
}
