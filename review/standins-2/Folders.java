import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Deletes the temporary folder of a script. */
final class Folders {

  private Folders() {}

  static void delete(Path folder) {
    if (System.getenv("KEEP") != null) {
      System.out.println("logs are kept in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    } catch (IOException e) {
      System.out.println("the temporary folder could not be deleted: " + e.getMessage());
    }
  }
}
