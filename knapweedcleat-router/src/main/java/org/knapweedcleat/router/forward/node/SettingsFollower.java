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

/** Reloads the settings when their file changes or the process receives SIGHUP. */
public final class SettingsFollower {

  private static final Logger LOG = LoggerFactory.getLogger(SettingsFollower.class);

  /**
   * Polling interval, since the file may change without a signal; outdated seeds are not urgent.
   */
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
   * Starts to watch a file.
   *
   * @param vertx runs the checks
   * @param hangup triggers an immediate check
   * @param file the settings file
   * @param onChange receives changed settings that are valid
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
      String newText = Files.readString(file);
      boolean changed = !newText.equals(text);
      text = newText;
      return changed;
    } catch (IOException e) {
      LOG.warn("cannot read {}; keeping the current settings", file, e);
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
