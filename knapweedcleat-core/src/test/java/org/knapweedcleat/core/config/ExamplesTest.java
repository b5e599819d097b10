package org.knapweedcleat.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedcleat.core.account.KeyRegistry;
import org.knapweedcleat.core.id.PoolId;

/** Validates the example configurations shipped with the project. */
class ExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  @ParameterizedTest
  @ValueSource(strings = {"kayseri", "tarros"})
  void areValid(String deployment) throws IOException {
    FleetDocument document = document(deployment);
    InstanceSettings settings =
        InstanceSettingsParser.parse("instance.ini", read(deployment, "instance.ini")).get();

    assertThat(document.domains().containsKey(settings.domain()), is(true));
    assertThat(document.domains().size(), is(3));
    assertThat(document.regions().size(), is(2));
    assertThat(document.accounts().size(), is(5));
  }

  @ParameterizedTest
  @ValueSource(strings = {"kayseri", "tarros"})
  void documentTheirKeysInComments(String deployment) throws IOException {
    KeyRegistry ring = KeyRegistry.of(document(deployment));

    long accepted =
        read(deployment, "fleet.ini")
            .lines()
            .filter(line -> line.startsWith("# example only: "))
            .filter(line -> ring.authenticate(line.substring(16)).isRight())
            .count();

    assertThat(accepted, is(5L));
  }

  @Test
  void haveExpectedPoolSizes() throws IOException {
    assertThat(endpoints("kayseri", "horn-tutor"), is(12L));
    assertThat(endpoints("kayseri", "school-desk"), is(3L));
    assertThat(endpoints("tarros", "nota-asistente"), is(6L));
    assertThat(endpoints("tarros", "mostrador"), is(3L));
  }

  private static long endpoints(String deployment, String pool) throws IOException {
    return document(deployment).endpoints().values().stream()
        .filter(endpoint -> endpoint.pool().equals(PoolId.of(pool)))
        .count();
  }

  private static FleetDocument document(String deployment) throws IOException {
    return FleetDocumentParser.parse("fleet.ini", read(deployment, "fleet.ini"))
        .toEither()
        .getOrElseThrow(faults -> new AssertionError(faults.mkString("\n")));
  }

  private static String read(String deployment, String file) throws IOException {
    return Files.readString(EXAMPLES.resolve(deployment).resolve(file));
  }
}
