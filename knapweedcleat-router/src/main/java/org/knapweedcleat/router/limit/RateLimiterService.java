package org.knapweedcleat.router.limit;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.limit.DistributedRateLimiter;
import org.knapweedcleat.core.limit.DrawId;
import org.knapweedcleat.core.limit.LimitAction;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.router.gate.AccountRateLimiter;
import org.knapweedcleat.router.gate.RateLimitDecision;

/** Runs this instance's rate limiter and sends and receives its messages. */
public final class RateLimiterService implements AccountRateLimiter {

  private final DistributedRateLimiter limiter;
  private final LongSupplier nowMillis;
  private final MetricRegistry metrics;
  private final BiConsumer<IncarnationId, LimitMessage> sender;
  private final Map<DrawId, UniEmitter<? super RateLimitDecision>> pendingDraws = new HashMap<>();
  private long lastDrawNumber;

  private RateLimiterService(
      DistributedRateLimiter limiter,
      LongSupplier nowMillis,
      MetricRegistry metrics,
      BiConsumer<IncarnationId, LimitMessage> sender) {
    this.limiter = Objects.requireNonNull(limiter, "limiter");
    this.nowMillis = Objects.requireNonNull(nowMillis, "nowMillis");
    this.metrics = Objects.requireNonNull(metrics, "metrics");
    this.sender = Objects.requireNonNull(sender, "send");
  }

  /**
   * Returns a service.
   *
   * @param limiter the rate limiter
   * @param nowMillis the monotonic clock
   * @param metrics counts grants and denials
   * @param sender sends a message to an incarnation; it may be lost
   * @return the service
   */
  public static RateLimiterService of(
      DistributedRateLimiter limiter,
      LongSupplier nowMillis,
      MetricRegistry metrics,
      BiConsumer<IncarnationId, LimitMessage> sender) {
    return new RateLimiterService(limiter, nowMillis, metrics, sender);
  }

  @Override
  public Uni<RateLimitDecision> acquire(AccountId account, long tokens) {
    return Uni.createFrom()
        .emitter(
            emitter -> {
              DrawId draw = DrawId.of(++lastDrawNumber);
              pendingDraws.put(draw, emitter);
              execute(limiter.acquire(nowMillis.getAsLong(), draw, account, tokens));
            });
  }

  @Override
  public void refund(AccountId account, long tokens) {
    execute(limiter.refund(nowMillis.getAsLong(), account, tokens));
  }

  /**
   * Applies a document.
   *
   * @param snapshot the document in force
   */
  public void configure(FleetSnapshot snapshot) {
    execute(
        limiter.configure(
            nowMillis.getAsLong(),
            snapshot.revision(),
            snapshot.document().accounts().values(),
            snapshot.document().domains().keySet()));
  }

  /**
   * Updates the membership view.
   *
   * @param view the membership view
   */
  public void updateMembers(MembershipView view) {
    execute(limiter.updateMembers(nowMillis.getAsLong(), view));
  }

  /**
   * Handles a message from another instance.
   *
   * @param from the sender
   * @param message the message
   */
  public void receive(IncarnationId from, LimitMessage message) {
    execute(limiter.receive(nowMillis.getAsLong(), from, message));
  }

  /** Runs time-dependent work of the limiter. */
  public void tick() {
    execute(limiter.tick(nowMillis.getAsLong()));
  }

  /**
   * Tells whether this instance owns its share of all client accounts' tokens.
   *
   * @return false while the instance is still joining
   */
  public boolean ownsShare() {
    return limiter.ownsShare();
  }

  /** Hands over the tokens that this instance keeps, before it stops. */
  public void handOver() {
    execute(limiter.handOver(nowMillis.getAsLong()));
  }

  private void execute(List<LimitAction> actions) {
    actions.forEach(this::execute);
  }

  private void execute(LimitAction action) {
    if (action instanceof LimitAction.Send message) {
      sender.accept(message.to(), message.message());
    } else if (action instanceof LimitAction.Granted granted) {
      metrics.counter("limit.granted").inc();
      completeDraw(granted.draw(), new RateLimitDecision.Granted(granted.tokens()));
    } else if (action instanceof LimitAction.Denied denied) {
      String reason = denied.reason().name().toLowerCase(Locale.ROOT);
      metrics.counter("limit.denied." + reason).inc();
      completeDraw(
          denied.draw(), new RateLimitDecision.Denied(denied.reason(), denied.retryAfterMillis()));
    }
  }

  private void completeDraw(DrawId draw, RateLimitDecision outcome) {
    UniEmitter<? super RateLimitDecision> emitter = pendingDraws.remove(draw);
    if (emitter != null) {
      emitter.complete(outcome);
    }
  }
}
