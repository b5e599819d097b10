package org.knapweedcleat.standins.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A Java process of a deployment; signals go to its own process id only. */
final class JavaProcess {

  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final String name;
  private final Process process;
  private final Path log;

  private JavaProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
  }

  static JavaProcess startJar(Path folder, String name, String jar, List<String> arguments) {
    List<String> command = new ArrayList<>(List.of("-Xmx128m", "-jar", jar));
    command.addAll(arguments);
    return start(folder, name, command);
  }

  /**
   * Starts a JVM.
   *
   * @param folder where the log is written
   * @param name the name of the process and its log
   * @param arguments the rest of the command line
   * @return the process
   */
  static JavaProcess start(Path folder, String name, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(arguments);
    Path log = folder.resolve(name + ".log");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      return new JavaProcess(name, process, log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  void checkAlive() {
    if (!isAlive()) {
      throw new IllegalStateException(name + " exited: " + readLog());
    }
  }

  void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  void terminate() {
    process.destroy();
  }

  void pause() {
    sendSignal("STOP");
  }

  void resume() {
    sendSignal("CONT");
  }

  int awaitExit() {
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new AssertionError(name + " did not exit in time: " + readLog());
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  String readLog() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the resident memory in kilobytes, 0 if the process has ended. */
  long residentKilobytes() {
    try (Stream<String> lines =
        Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
      return lines
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
          .findFirst()
          .orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the number of open descriptors, 0 if the process has ended. */
  int openDescriptors() {
    String[] names = Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
    return names == null ? 0 : names.length;
  }

  private void sendSignal(String signal) {
    String pid = Long.toString(process.pid());
    try {
      int exit = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
      if (exit != 0) {
        throw new IllegalStateException("could not send " + signal + " to " + name);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
