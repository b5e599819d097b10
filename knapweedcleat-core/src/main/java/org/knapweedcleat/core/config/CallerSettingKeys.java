package org.knapweedcleat.core.config;

import io.vavr.collection.List;

/** The setting keys of the limits on the connections of a forwarding instance's callers. */
final class CallerSettingKeys {

  private static final String BYTES = "bytes";

  static final SettingKey<Integer> MEMORY =
      limit(
          "memoryKilobytes",
          "kilobytes",
          "the memory held for callers, by its cost on the heap; 0: 45 in 100 of the heap");
  static final SettingKey<Integer> CONNECTIONS =
      limit(
          "maxConnections",
          "connections",
          "how many callers may be connected; 0: 60 in 100 of the process's descriptors, and no"
              + " more than a quarter of the memory holds");
  static final SettingKey<Integer> PARTIAL_REQUESTS =
      limit(
          "maxPartialRequests",
          "connections",
          "how many connections may have a partial request; 0: all");
  static final SettingKey<Integer> HEADER_LINES =
      limit(
          "maxHeaderLines",
          "lines",
          "how many header lines a request may have; 0: max_header_bytes / 2");
  static final SettingKey<Integer> CHUNKS =
      limit("maxChunks", "chunks", "how many chunks a body may have; 0: max_body_bytes");
  static final SettingKey<Integer> CHUNK_OVERHEAD =
      limit(
          "maxChunkOverheadBytes",
          BYTES,
          "the bytes of a chunked body besides its content, with the extensions of its chunks;"
              + " 0: 5 x max_body_bytes + 1,048,576");
  static final SettingKey<Integer> TRAILER_LINES =
      limit(
          "maxTrailerLines",
          "lines",
          "how many trailer lines a request may have; 0: max_header_bytes / 2");
  static final SettingKey<Integer> MIN_BODY =
      SettingKey.optional(
          SectionKind.CALLERS,
          "minBodyBytes",
          ValueRules.intRange(1, Integer.MAX_VALUE),
          BYTES,
          "64",
          "how much of a body has to come in each idle_timeout_ms, or the rest of it");
  static final SettingKey<Integer> DISCARDED =
      SettingKey.optional(
          SectionKind.CALLERS,
          "maxDiscardedBytes",
          ValueRules.intRange(0, Integer.MAX_VALUE),
          BYTES,
          "8388608",
          "how much is read and discarded behind a refused request");

  private static final List<SettingKey<?>> ALL =
      List.of(
          MEMORY,
          CONNECTIONS,
          PARTIAL_REQUESTS,
          HEADER_LINES,
          CHUNKS,
          CHUNK_OVERHEAD,
          TRAILER_LINES,
          MIN_BODY,
          DISCARDED);

  private CallerSettingKeys() {}

  static List<SettingKey<?>> all() {
    return ALL;
  }

  private static SettingKey<Integer> limit(String name, String unit, String description) {
    return SettingKey.optional(
        SectionKind.CALLERS,
        name,
        ValueRules.intRange(0, Integer.MAX_VALUE),
        unit,
        "0",
        description);
  }
}
