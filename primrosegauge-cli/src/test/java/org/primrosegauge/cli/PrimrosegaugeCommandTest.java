package org.primrosegauge.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PrimrosegaugeCommandTest {

  private static final String LAKESHORE = "../examples/lakeshore.toml";

  @TempDir private Path folder;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();
  private final AtomicLong clock = new AtomicLong();
  private FakeInstance instance;

  @BeforeEach
  void start() throws IOException {
    instance = new FakeInstance();
  }

  @AfterEach
  void stop() {
    instance.close();
  }

  @Test
  void checksFile() {
    assertThat(run("config", "check", LAKESHORE)).isEqualTo(ExitCodes.OK);
    assertThat(out.toString()).contains("3 failure domains, 4 customers");
  }

  @Test
  void namesLineAndRemedyOfBrokenFile() throws IOException {
    Path broken = folder.resolve("broken.toml");
    Files.writeString(
        broken, Files.readString(Path.of(LAKESHORE)).replace("workers = 10", "w = 1"));

    assertThat(run("config", "check", broken.toString())).isEqualTo(ExitCodes.INVALID);
    assertThat(err.toString()).contains("broken.toml:7: failure-domains[].w: no such key; remedy:");
    assertThat(err.toString().lines().count()).isEqualTo(6);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "invalid-input   | 400 | 1",
        "infeasible      | 422 | 1",
        "not-found       | 404 | 3",
        "conflict        | 409 | 4",
        "unauthenticated | 401 | 5",
        "forbidden       | 403 | 5",
        "over-limit      | 429 | 6",
        "unavailable     | 503 | 6",
        "deadline        | 504 | 6",
        "outcome-unknown | 502 | 7",
        "target-failed   | 502 | 9",
        "storage         | 507 | 70",
        "internal        | 500 | 70",
        "''              | 500 | 70",
      })
  void turnsEachProblemIntoAnExitCode(String kind, int status, int exitCode) {
    instance.answer(
        status,
        "7",
        "{'kind':'" + kind + "','detail':'why','remedy':'do that','execution':'not-run'}");

    assertThat(run("job", "show", "j1")).isEqualTo(exitCode);
    assertThat(err.toString()).contains("why; remedy: do that");
    assertThat(err.toString()).contains("execution: not-run");
    assertThat(err.toString()).contains("come back after: 7 s");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "job", "config nothing", "domain out", "serve", "status --bad"})
  void refusesWrongCommandLines(String line) {
    assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitCodes.USAGE);
  }

  @Test
  void saysThatFailedReadsDidNotRun() {
    String gone = instance.endpoint();
    instance.close();

    assertThat(run("status", "--endpoint", gone)).isEqualTo(ExitCodes.RETRY);
    assertThat(err.toString()).contains("execution: not-run");
  }

  @Test
  void refusesAnswersThatAreNotJson() {
    instance.answer("<html>");

    assertThat(run("job", "cancel", "j1")).isEqualTo(ExitCodes.OUTCOME_UNKNOWN);
  }

  @Test
  void printsRowsAsTableOrJson() {
    instance.answer("{'jobs':[{'id':'j1','phase':'QUEUED'},{'id':'job-2','phase':'RUNNING'}]}");
    instance.answer("{'jobs':[]}");

    assertThat(run("job", "list")).isEqualTo(ExitCodes.OK);
    assertThat(run("job", "list", "--output", "json")).isEqualTo(ExitCodes.OK);

    assertThat(out.toString()).contains("ID     PHASE");
    assertThat(out.toString()).contains("job-2  RUNNING");
    assertThat(out.toString()).contains("\"jobs\" : [ ]");
    assertThat(instance.requests().get(0)).contains("token=Bearer secret");
  }

  @Test
  void appliesAndWaitsUntilInForce() {
    instance.answer("{'revision':4}");
    instance.answer(
        "{'revision':5,'state':'accepted','notInForceIn':[{'instance':'e1','reason':'cut off'}]}");
    instance.answer("{'revision':5,'state':'in-force','notInForceIn':[],'toml':'long'}");

    assertThat(run("config", "apply", "--wait-seconds", "5", LAKESHORE)).isEqualTo(ExitCodes.OK);
    assertThat(instance.requests().get(1)).startsWith("PUT /v1/configuration ");
    assertThat(instance.requests().get(1)).contains("expected=4");
    assertThat(err.toString()).contains("not yet in force: e1 (cut off)");
    assertThat(out.toString()).doesNotContain("long");
  }

  @Test
  void saysWhenTheWaitForForceEnds() {
    String accepted = "{'revision':5,'state':'accepted','notInForceIn':['e1']}";
    instance.answer(accepted).answer(accepted).answer(accepted).answer(accepted);
    instance.answer(accepted).answer(accepted);

    int code = run("config", "apply", "--wait-seconds", "1", "--expected-revision", "4", LAKESHORE);

    assertThat(code).isEqualTo(ExitCodes.NOT_IN_FORCE);
  }

  @Test
  void takesDomainOutAndShowsTheDrain() {
    instance.answer("{'domains':[{'id':'klang','revision':8}]}");
    instance.answer("{'state':'accepted'}");
    instance.answer("{'domains':[{'id':'klang','state':'in-force','runningTasks':3}]}");
    instance.answer("{'domains':[{'id':'klang','state':'in-force','runningTasks':0}]}");

    int code = run("domain", "out", "--work", "checkpoint", "--wait-seconds", "9", "klang");

    assertThat(code).isEqualTo(ExitCodes.OK);
    assertThat(instance.requests().get(1))
        .contains("{\"out\":true,\"work\":\"CHECKPOINT\",\"revision\":9}");
    assertThat(err.toString()).contains("klang: in force, 3 tasks running");
  }

  @Test
  void refusesUnknownDomain() {
    instance.answer("{'domains':[]}");

    assertThat(run("domain", "in", "klang")).isEqualTo(ExitCodes.NOT_FOUND);
  }

  @ParameterizedTest
  @CsvSource({"SUCCEEDED, 0", "FAILED, 9", "CANCELLED, 9", "OUTCOME_UNKNOWN, 7", "DANCING, 7"})
  void watchesJobsToTheirEnd(String phase, int exitCode) {
    instance.answer("{'attempt':1,'phase':'QUEUED'}").answer("{'attempt':1,'phase':'RUNNING'}");
    instance.answer("{'attempt':1,'phase':'" + phase + "'}");

    assertThat(run("job", "watch", "j1")).isEqualTo(exitCode);
    assertThat(err.toString()).contains("attempt 1: RUNNING");
  }

  @Test
  void submitsJobsUnderTheirKey() {
    instance.answer(202, "", "{'id':'k1'}");

    int code = run("job", "submit", "--customer", "dealers", "--idempotency-key", "k1", "rebuild");

    assertThat(code).isEqualTo(ExitCodes.OK);
    assertThat(instance.requests().get(0)).contains("key=k1");
    assertThat(instance.requests().get(0)).contains("\"repeatable\":true");
  }

  @Test
  void editsCustomersAndGuarantees() throws IOException {
    Path file = folder.resolve("site.toml");
    Files.copy(Path.of(LAKESHORE), file);
    String name = file.toString();

    assertThat(run("customer", "add", "--file", name, "--in-place", "new")).isEqualTo(0);
    assertThat(guarantee("add", name, "lakes-west", "--accelerators", "8")).isEqualTo(0);
    assertThat(Files.readString(file)).contains("customer = \"new\"");
    assertThat(run("customer", "remove", "--file", name, "new")).isEqualTo(ExitCodes.INVALID);
    assertThat(guarantee("add", name, "lakes-west", "--accelerators", "9")).isEqualTo(1);
    assertThat(guarantee("remove", name, "lakes-west")).isEqualTo(ExitCodes.OK);
    assertThat(guarantee("remove", name, "lakes-west")).isEqualTo(ExitCodes.NOT_FOUND);
    assertThat(run("customer", "remove", "--file", name, "new")).isEqualTo(ExitCodes.OK);
    assertThat(run("customer", "remove", "--file", name, "none")).isEqualTo(ExitCodes.NOT_FOUND);
    assertThat(run("customer", "list", "--file", name)).isEqualTo(ExitCodes.OK);
    assertThat(run("guarantee", "list", "--file", name)).isEqualTo(ExitCodes.OK);
    assertThat(out.toString()).contains("price-desk  lakes-west  4 x 2 in one worker");
  }

  @Test
  void printsShellCompletion() {
    assertThat(run("generate-completion")).isEqualTo(ExitCodes.OK);
    assertThat(out.toString()).contains("complete -F _complete_primrosegauge");
  }

  private int guarantee(String verb, String file, String domain, String... more) {
    String[] line = {
      "guarantee", verb, "--file", file, "--in-place", "--customer", "new", "--domain", domain
    };
    String[] all = java.util.Arrays.copyOf(line, line.length + more.length);
    System.arraycopy(more, 0, all, line.length, more.length);
    return run(all);
  }

  private int run(String... arguments) {
    CliEnvironment environment =
        new CliEnvironment(
            new PrintWriter(out, true),
            new PrintWriter(err, true),
            name -> name.equals(ClientOptions.TOKEN_VARIABLE) ? "secret" : instance.endpoint(),
            clock::get,
            clock::addAndGet,
            settings -> ExitCodes.OK);
    return PrimrosegaugeCommand.execute(environment, arguments);
  }
}
