package org.knapweedcleat.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.account.Sha256;
import org.knapweedcleat.core.config.DocumentPartAssembler;
import org.knapweedcleat.core.config.FleetDocumentParser;
import org.knapweedcleat.core.config.PartOutcome;

class CommandLineTest {

  private static final String KAYSERI = "../examples/kayseri/fleet.ini";
  private static final String TARROS = "../examples/tarros/fleet.ini";

  private final RecordingConsole console = RecordingConsole.create();

  @TempDir private Path directory;

  @ParameterizedTest
  @EnumSource(CommandKind.class)
  void showsHelpWithExampleForEachCommand(CommandKind kind) {
    assertThat(console.run(kind.word(), "--help"), is(ExitCode.OK));
    assertThat(console.out(), containsString("usage: knapweedcleat " + kind.word()));
    assertThat(console.out(), containsString("example:\n  knapweedcleat " + kind.word()));
    assertThat(console.out(), containsString("exit codes:"));
  }

  @Test
  void rejectsInvalidArguments() {
    assertThat(console.run(), is(ExitCode.FAILED));
    assertThat(console.run("chekc"), is(ExitCode.FAILED));
    assertThat(console.err(), containsString("did you mean check?"));
    assertThat(console.run("check", "--no-such-option"), is(ExitCode.FAILED));
    assertThat(console.run("check", "no-such-file"), is(ExitCode.FAILED));
    assertThat(console.run("check"), is(ExitCode.FAILED));
    assertThat(console.out(), is(""));
  }

  @Test
  void checksTheExamples() {
    assertThat(console.run("check", KAYSERI, TARROS), is(ExitCode.OK));
    assertThat(
        console.run("check", "--instance", "../examples/kayseri/instance.ini"), is(ExitCode.OK));
    assertThat(console.err(), is(""));
  }

  @Test
  void reportsFaultLocations() throws IOException {
    Path invalid = changed("port = 9200", "port = 92000");

    assertThat(console.run("check", "--json", invalid.toString()), is(ExitCode.FOUND));

    JsonObject fault =
        new JsonObject(console.out())
            .getJsonArray("files")
            .getJsonObject(0)
            .getJsonArray("faults")
            .getJsonObject(0);
    assertThat(fault.getString("key"), is("port"));
    assertThat(fault.getString("found"), is("92000"));
    assertThat(console.run("diff", KAYSERI, invalid.toString()), is(ExitCode.FAILED));
    assertThat(console.err(), containsString("found \"92000\""));
  }

  @Test
  void reportsDangerousChanges() throws IOException {
    Path changed = changed("burstTokens = 240000", "burstTokens = 24000");

    assertThat(console.run("diff", KAYSERI, changed.toString()), is(ExitCode.FOUND));
    assertThat(console.out(), containsString("changed [account families] of team coordination"));
    assertThat(console.out(), containsString("burstTokens: 240000 -> 24000"));
    assertThat(console.out(), containsString("! LIMIT_LOWERED"));
    assertThat(console.run("diff", KAYSERI, KAYSERI), is(ExitCode.OK));
  }

  @Test
  void explainsWhereRequestsGo() {
    assertThat(explain("POST", "/v1/kiosk", "--key-name", "kiosk-1"), is(ExitCode.OK));
    assertThat(console.out(), containsString("in bursa-a (marmara): 600 tokens/s"));
    assertThat(console.out(), containsString("horn-tutor-prefill-5"));
    assertThat(explain("POST", "/v1/fees"), is(ExitCode.FOUND));
    assertThat(console.out(), containsString("401 UNKNOWN_KEY"));
    assertThat(explain("GET", "/v1/fees"), is(ExitCode.FOUND));
    assertThat(console.out(), containsString("the path takes POST"));
    assertThat(explain("GET", "/v1/timetable", "--domain", "bursa"), is(ExitCode.FOUND));
    assertThat(console.out(), containsString("did you mean bursa-a?"));
  }

  @Test
  void explainsThatLeavingEndpointsServeNoRequests() throws IOException {
    Path leaving = changed("port = 9200", "port = 9200\nstate = leaving");

    ExitCode code =
        console.run("explain", leaving.toString(), "--method", "GET", "--path", "/v1/timetable");

    assertThat(code, is(ExitCode.FOUND));
    assertThat(console.out(), containsString("leaving: gets no new work"));
    assertThat(console.out(), containsString("503 NO_ENDPOINT"));
  }

  @Test
  void generatesKeysThatMatchTheirSections() {
    assertThat(console.run("key", "desk-2", "--account", "families"), is(ExitCode.OK));

    Matcher key = Pattern.compile("kc_\\S{43}").matcher(console.out());
    assertThat(key.find(), is(true));
    assertThat(console.out(), containsString("digest = " + KeyDigest.ofKey(key.group())));
    String section = console.out().substring(console.out().indexOf("[key"));
    assertThat(FleetDocumentParser.parse("f", section + text()).isValid(), is(true));
  }

  @Test
  void splitsDocumentsIntoPartsThatReassemble() throws IOException {
    String out = directory.resolve("parts").toString();

    assertThat(
        console.run("parts", KAYSERI, "--out", out, "--part-bytes", "1000"), is(ExitCode.OK));

    String manifest = Files.readString(Path.of(out, "fleet"));
    DocumentPartAssembler parts = DocumentPartAssembler.of("fleet", manifest).get();
    for (String digest : parts.missingDigests()) {
      String part =
          Files.readString(Path.of(out, DocumentPartAssembler.valueName("fleet", digest)));
      assertThat(parts.add(digest, part), is(PartOutcome.ACCEPTED));
      assertThat(part.length() <= 1_000, is(true));
    }
    assertThat(Sha256.hexOf(parts.text().get()), is(Sha256.hexOf(text())));
  }

  @Test
  void configurationPageListsEveryKey() throws IOException {
    String page = Files.readString(Path.of("../docs/CONFIGURATION.md"));

    console.run("check", "--keys");
    assertThat(page, containsString(console.out().strip()));
    console.run("check", "--keys", "--instance");
    assertThat(page, containsString(console.out().strip()));
    assertThat(page, startsWith("# Configuration"));
  }

  private ExitCode explain(String method, String path, String... options) {
    String[] required = {"explain", KAYSERI, "--method", method, "--path", path};
    String[] args = java.util.Arrays.copyOf(required, required.length + options.length);
    System.arraycopy(options, 0, args, required.length, options.length);
    return console.run(args);
  }

  private Path changed(String from, String to) throws IOException {
    Path file = directory.resolve("changed.ini");
    return Files.writeString(file, text().replace(from, to));
  }

  private static String text() {
    try {
      return Files.readString(Path.of(KAYSERI));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
