package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.List;

/** A link whose rate is divided evenly among the transfers that run. */
final class FakeLink {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double DONE_BYTES = 1e-3;

  private final EventQueue events;
  private final double bytesPerMicro;
  private final List<Transfer> running = new ArrayList<>();
  private long updatedMicros;
  private long generation;

  private FakeLink(EventQueue events, double bytesPerSecond) {
    this.events = events;
    this.bytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
  }

  static FakeLink of(EventQueue events, double bytesPerSecond) {
    return new FakeLink(events, bytesPerSecond);
  }

  Transfer transfer(double bytes, Runnable done) {
    advance();
    Transfer transfer = new Transfer(bytes, done);
    running.add(transfer);
    reschedule();
    return transfer;
  }

  void abort(Transfer transfer) {
    advance();
    running.remove(transfer);
    reschedule();
  }

  private void advance() {
    double each =
        (events.nowMicros() - updatedMicros) * bytesPerMicro / Math.max(1, running.size());
    running.forEach(transfer -> transfer.remainingBytes -= each);
    updatedMicros = events.nowMicros();
  }

  private void reschedule() {
    generation++;
    if (running.isEmpty()) {
      return;
    }
    double least =
        running.stream().mapToDouble(transfer -> transfer.remainingBytes).min().orElse(0);
    long micros = (long) Math.ceil(Math.max(0, least) * running.size() / bytesPerMicro);
    long expected = generation;
    events.after(micros, () -> complete(expected));
  }

  private void complete(long expected) {
    if (expected != generation) {
      return;
    }
    advance();
    List<Transfer> done =
        running.stream().filter(transfer -> transfer.remainingBytes <= DONE_BYTES).toList();
    running.removeAll(done);
    reschedule();
    done.forEach(transfer -> transfer.done.run());
  }

  /** A transfer that runs. */
  static final class Transfer {
    private final Runnable done;
    private double remainingBytes;

    private Transfer(double bytes, Runnable done) {
      this.remainingBytes = bytes;
      this.done = done;
    }
  }
}
