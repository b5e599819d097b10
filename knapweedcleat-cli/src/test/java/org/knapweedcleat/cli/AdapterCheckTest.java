package org.knapweedcleat.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AdapterCheckTest {

  private static final String SETTINGS =
      """
      [instance]
      id = front-a-1
      domain = a
      callerAddress = 127.0.0.1:8080
      readinessAddress = 127.0.0.1:8081
      peerAddress = 127.0.0.1:8082
      metricsAddress = 127.0.0.1:8083
      [discovery]
      storeAddress = 127.0.0.1:8090
      [domain a]
      region = north
      """;

  private final RecordingConsole console = RecordingConsole.create();

  @TempDir private Path directory;

  @Test
  void warningsAreNoFailure() throws IOException {
    String file = write("config", "7\nbook /book/\nold /book/\n");

    assertThat(check(file), is(ExitCode.OK));

    assertThat(
        console.out(),
        containsString(
            file + ":3: warning, never matches: [route old] field-PATH_PREFIX: route book"));
    assertThat(console.out(), containsString("0 errors, 1 warning; version 7, 2 routes"));
  }

  @Test
  void errorsOfOneFileAreFoundBesideValidOnes() throws IOException {
    String valid = write("config", "7\n");
    String invalid = write("invalid", "7\nwrong\n");

    assertThat(check(invalid, valid), is(ExitCode.FOUND));

    assertThat(console.out(), containsString(invalid + ":2: error: is wrong"));
    assertThat(console.out(), containsString("further checks need a file without errors"));
    assertThat(console.out(), containsString(valid + ": 0 errors, 0 warnings"));
  }

  @Test
  void showsDifferencesFromTheVersionInForce() throws IOException {
    String inForce = write("old", "7\nbook /book/\nlook /look/\n");
    String next = write("new", "8\nbook /books/\nnote /note/\n");

    assertThat(check("--against", inForce, next), is(ExitCode.OK));

    assertThat(console.out(), containsString("removed [route look]"));
    assertThat(console.out(), containsString("added [route note]"));
    assertThat(
        console.out(),
        containsString("changed [route book]\n    field-PATH_PREFIX: /book/ -> /books/"));
    assertThat(console.out(), containsString("4 entries differ from the version in force"));
    assertThat(check("--against", next, inForce), is(ExitCode.FOUND));
    assertThat(console.out(), containsString("error: [configuration] field-VERSION: 7 is not"));
  }

  /** Guards against tools that cannot tell errors, warnings and differences apart. */
  @Test
  void printsJson() throws IOException {
    String inForce = write("old", "7\nbook /book/\n");
    String next = write("new", "7\nbook /books/\nold /books/\n");

    assertThat(check("--json", "--against", inForce, next), is(ExitCode.FOUND));

    JsonObject file = new JsonObject(console.out()).getJsonArray("files").getJsonObject(0);
    assertThat(file.getBoolean("ok"), is(false));
    JsonObject error = file.getJsonArray("findings").getJsonObject(0);
    assertThat(error.getString("severity"), is("error"));
    assertThat(error.getString("kind"), is("VERSION_NOT_HIGHER"));
    JsonObject warning = file.getJsonArray("findings").getJsonObject(1);
    assertThat(warning.getString("severity"), is("warning"));
    assertThat(warning.getInteger("line"), is(3));
    JsonObject change = file.getJsonArray("changes").getJsonObject(0);
    assertThat(change.getString("kind"), is("CHANGED"));
    assertThat(change.getJsonArray("values").getJsonObject(0).getString("after"), is("/books/"));
    check("--json", next);
    assertThat(console.out(), not(containsString("\"changes\"")));
  }

  /** Guards against silence about regions where the failure domains are not known. */
  @Test
  void checksRegionsByTheSettingsOfAnInstance() throws IOException {
    String file = write("config", "7\nbook /book/ south\nlook /look/ north\n");
    String settings = write("instance.ini", SETTINGS);

    assertThat(check("--settings", settings, file), is(ExitCode.OK));
    assertThat(console.out(), containsString("no failure domain is in region south"));
    assertThat(console.out(), containsString("0 errors, 1 warning;"));
    check(file);
    assertThat(console.out(), containsString("regions are only checked with --settings"));
    assertThat(console.out(), containsString("0 errors, 0 warnings;"));
  }

  @Test
  void wrongUsageFails() throws IOException {
    String valid = write("config", "7\n");

    assertThat(console.run("check", "--adapter", "none", valid), is(ExitCode.FAILED));
    assertThat(console.err(), containsString("none is no adapter on the class path"));
    assertThat(console.run("check", "--against", valid, valid), is(ExitCode.FAILED));
    assertThat(console.run("check", "--settings", valid, valid), is(ExitCode.FAILED));
    assertThat(check("--forwarder", valid), is(ExitCode.FAILED));
    String invalid = write("invalid", "wrong\n");
    assertThat(check("--against", invalid, valid), is(ExitCode.FAILED));
    assertThat(check("--against", "no-such-file", valid), is(ExitCode.FAILED));
    assertThat(check("--settings", valid, valid), is(ExitCode.FAILED));
    assertThat(check(), is(ExitCode.FAILED));
    assertThat(console.out(), is(""));
  }

  /** Guards against names that forge or hide lines of the output. */
  @Test
  void controlCharactersAreNotPrinted() throws IOException {
    String file = write("config", "7\nbook\u001b[2K /book/\nold\u0007 /book/\n");

    check("--against", write("old", "6\n"), file);

    assertThat(console.out(), containsString("[route old?]"));
    assertThat(console.out().replaceAll("[^\\p{Cntrl}]|\\R", ""), is(""));
  }

  private ExitCode check(String... arguments) {
    return console.run(
        Stream.concat(Stream.of("check", "--adapter", "lines"), Stream.of(arguments))
            .toArray(String[]::new));
  }

  private String write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }
}
