package org.knapweedcleat.router.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is being received. It grows by segments, so that little more memory is allocated than
 * was received and nothing is copied when it grows, however small its parts are.
 */
final class SegmentedBody {

  private static final int MIN_SEGMENT_BYTES = 512;
  private static final int MAX_SEGMENT_BYTES = 65_536;

  private final List<byte[]> segments = new ArrayList<>();
  private byte[] last = new byte[0];
  private int lastLength;
  private int length;
  private int capacityBytes;

  int length() {
    return length;
  }

  /** Returns the allocated memory. */
  int capacityBytes() {
    return capacityBytes;
  }

  void append(ByteBuf bytes) {
    while (bytes.isReadable()) {
      if (lastLength == last.length) {
        grow(bytes.readableBytes());
      }
      int count = Math.min(bytes.readableBytes(), last.length - lastLength);
      bytes.readBytes(last, lastLength, count);
      lastLength += count;
      length += count;
    }
  }

  private void grow(int neededBytes) {
    int size =
        Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, Math.max(neededBytes, length)));
    last = new byte[size];
    lastLength = 0;
    segments.add(last);
    capacityBytes += size;
  }

  /** Returns the body without copying it; it may be sent several times. */
  Buffer toBuffer() {
    if (segments.isEmpty()) {
      return Buffer.buffer();
    }
    ByteBuf[] parts = new ByteBuf[segments.size()];
    for (int i = 0; i < parts.length; i++) {
      byte[] segment = segments.get(i);
      int used = i == parts.length - 1 ? lastLength : segment.length;
      parts[i] = Unpooled.wrappedBuffer(segment, 0, used);
    }
    ByteBuf whole = Unpooled.wrappedBuffer(parts.length, parts);
    return BufferInternal.buffer(Unpooled.unreleasableBuffer(whole));
  }
}
