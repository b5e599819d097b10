package org.knapweedcleat.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TraceCommandTest {

  private final RecordingConsole console = RecordingConsole.create();

  @TempDir private Path directory;

  @Test
  void ordersLinesOfSeveralInstancesByTime() throws IOException {
    Path one = write("one.log", line(2_000, "call.not_run", "id-1") + line(9, "x", "id-2"));
    Path two = write("two.log", line(1_000, "call.again", "id-1"));

    assertThat(trace("id-1", one, two), is(ExitCode.OK));
    assertThat(console.out(), startsWith("1970-01-01T00:00:01Z " + two + " call.again"));
    assertThat(console.out(), containsString("call.not_run requestId=id-1"));
    assertThat(console.out(), not(containsString("id-2")));
  }

  @Test
  void showsPrecedingEventsOfTheSameInstance() throws IOException {
    String storeLost =
        "{\"timestamp\":4000,\"kvpList\":[{\"reason\":\"UNREACHABLE\"}],"
            + "\"message\":\"store.lost\"}\n";
    Path one = write("one.log", storeLost + line(5_000, "call.unknown_key", "id-1"));
    Path two = write("two.log", storeLost.replace("store", "other"));

    trace("id-1", one, two);
    assertThat(console.out(), containsString("store.lost reason=UNREACHABLE"));
    assertThat(console.out(), not(containsString("other.lost")));
  }

  @Test
  void skipsMalformedLines() throws IOException {
    Path one = write("one.log", "{\"timest\n" + line(1, "call.again", "id-1"));

    assertThat(trace("id-1", one), is(ExitCode.OK));
    assertThat(console.err(), containsString(one + ":1: not a log line; skipped"));
  }

  @Test
  void failsWithoutMatchingLines() throws IOException {
    assertThat(trace("id-1", write("one.log", "")), is(ExitCode.FOUND));
    assertThat(console.run("trace", "id-1"), is(ExitCode.FAILED));
    assertThat(console.run("trace", "id-1", "no-such-file"), is(ExitCode.FAILED));
  }

  private ExitCode trace(String id, Path... files) {
    String[] arguments = new String[files.length + 2];
    arguments[0] = "trace";
    arguments[1] = id;
    for (int i = 0; i < files.length; i++) {
      arguments[i + 2] = files[i].toString();
    }
    return console.run(arguments);
  }

  private Path write(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text);
  }

  private static String line(long atMillis, String event, String id) {
    return "{\"timestamp\":"
        + atMillis
        + ",\"kvpList\":[{\"requestId\":\""
        + id
        + "\"}],\"message\":\""
        + event
        + "\"}\n";
  }
}
