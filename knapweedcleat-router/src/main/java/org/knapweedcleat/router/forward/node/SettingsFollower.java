package org.knapweedcleat.router.forward.node;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.knapweedcleat.core.config.ForwarderSettings;
import org.knapweedcleat.core.config.ForwarderSettingsParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the settings again when their file changes or the process gets SIGHUP. */
public final class SettingsFollower {

  private static final Logger LOG = LoggerFactory.getLogger(SettingsFollower.class);

  /** The file may change without a signal; seeds that are out of date matter only after that. */
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  private final Path file;
  private final Consumer<ForwarderSettings> onChange;
  private String text;

  private SettingsFollower(Path file, Consumer<ForwarderSettings> onChange) {
    this.file = file;
    this.onChange = onChange;
    this.text = "";
  }

  /**
   * Begins to follow a file.
   *
   * @param vertx runs it
   * @param hangup tells when the file should be looked at
   * @param file the settings
   * @param onChange hears settings that check and differ from those before
   */
  public static void follow(
      Vertx vertx, HangupSignal hangup, Path file, Consumer<ForwarderSettings> onChange) {
    SettingsFollower follower = new SettingsFollower(file, onChange);
    follower.readIfChanged();
    vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> follower.reloadIfChanged());
    hangup.onSignal(() -> vertx.runOnContext(ignored -> follower.reloadIfChanged()));
  }

  private boolean readIfChanged() {
    try {
      String now = Files.readString(file);
      boolean changed = !now.equals(text);
      text = now;
      return changed;
    } catch (IOException e) {
      LOG.warn("cannot read {}; the settings before it hold", file, e);
      return false;
    }
  }

  private void reloadIfChanged() {
    if (readIfChanged()) {
      ForwarderSettingsParser.parse(file.toString(), text)
          .peek(onChange)
          .mapError(
              faults -> {
                LOG.warn("the settings before hold, since the new ones have faults: {}", faults);
                return faults;
              });
    }
  }
}
