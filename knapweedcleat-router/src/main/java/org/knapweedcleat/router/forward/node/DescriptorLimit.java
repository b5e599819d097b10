package org.knapweedcleat.router.forward.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** The number of descriptors that this process may open, as the operating system tells it. */
final class DescriptorLimit {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String LINE = "Max open files";

  /** Used where the limit cannot be read; that of the smallest instance is 2,069. */
  private static final long FALLBACK = 2_048;

  private DescriptorLimit() {}

  static long read() {
    try (Stream<String> lines = Files.lines(LIMITS)) {
      return parse(lines);
    } catch (IOException e) {
      return FALLBACK;
    }
  }

  static long parse(Stream<String> lines) {
    return lines
        .filter(line -> line.startsWith(LINE))
        .map(line -> line.substring(LINE.length()).trim().split(" ")[0])
        .filter(limit -> limit.chars().allMatch(Character::isDigit))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(FALLBACK);
  }
}
