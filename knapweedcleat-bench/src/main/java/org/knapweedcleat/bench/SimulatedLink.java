package org.knapweedcleat.bench;

import java.util.ArrayList;
import java.util.List;

/** A network link whose rate is divided evenly among the active transfers. */
final class SimulatedLink {

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double COMPLETION_TOLERANCE_BYTES = 1e-3;

  private final EventQueue events;
  private final double bytesPerMicro;
  private final List<Transfer> activeTransfers = new ArrayList<>();
  private long lastUpdateMicros;
  private long generation;

  private SimulatedLink(EventQueue events, double bytesPerSecond) {
    this.events = events;
    this.bytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
  }

  static SimulatedLink of(EventQueue events, double bytesPerSecond) {
    return new SimulatedLink(events, bytesPerSecond);
  }

  Transfer transfer(double bytes, Runnable onDone) {
    updateProgress();
    Transfer transfer = new Transfer(bytes, onDone);
    activeTransfers.add(transfer);
    scheduleNextCompletion();
    return transfer;
  }

  void abort(Transfer transfer) {
    updateProgress();
    activeTransfers.remove(transfer);
    scheduleNextCompletion();
  }

  private void updateProgress() {
    double bytesPerTransfer =
        (events.nowMicros() - lastUpdateMicros)
            * bytesPerMicro
            / Math.max(1, activeTransfers.size());
    activeTransfers.forEach(transfer -> transfer.remainingBytes -= bytesPerTransfer);
    lastUpdateMicros = events.nowMicros();
  }

  private void scheduleNextCompletion() {
    generation++;
    if (activeTransfers.isEmpty()) {
      return;
    }
    double leastRemainingBytes =
        activeTransfers.stream().mapToDouble(transfer -> transfer.remainingBytes).min().orElse(0);
    long micros =
        (long) Math.ceil(Math.max(0, leastRemainingBytes) * activeTransfers.size() / bytesPerMicro);
    long expectedGeneration = generation;
    events.scheduleAfter(micros, () -> complete(expectedGeneration));
  }

  private void complete(long expectedGeneration) {
    if (expectedGeneration != generation) {
      return;
    }
    updateProgress();
    List<Transfer> completed =
        activeTransfers.stream()
            .filter(transfer -> transfer.remainingBytes <= COMPLETION_TOLERANCE_BYTES)
            .toList();
    activeTransfers.removeAll(completed);
    scheduleNextCompletion();
    completed.forEach(transfer -> transfer.onDone.run());
  }

  /** A transfer over the link. */
  static final class Transfer {
    private final Runnable onDone;
    private double remainingBytes;

    private Transfer(double bytes, Runnable onDone) {
      this.remainingBytes = bytes;
      this.onDone = onDone;
    }
  }
}
